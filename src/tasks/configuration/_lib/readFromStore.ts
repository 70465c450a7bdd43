/**
 * @module Reading the configuration from the table.
 */
import { err, ok, Result } from "neverthrow";
import type { Clock } from "../../../base/clock";
import { createFailure } from "../../../base/createFailure";
import { type Failure, FailureKind } from "../../../base/failure";
import { applyChange } from "../../../decisions/configuration/applyChange";
import { createEmptyConfiguration } from "../../../decisions/configuration/createEmptyConfiguration";
import type { AcceptedChange, Configuration } from "../../../model/configuration";
import type { TablePort, TableRow } from "../../../ports/table";
import { waitForStore } from "../../../ports/waitForStore";
import { ROWS_PER_READ, STORE_CALL_TIMEOUT_MS } from "./constants";
import { CHANGE_PREFIX, decodeChange, decodeHead, decodeItem, HEAD_KEY, ITEM_PREFIX, toChangeKey } from "./rows";

/** The head row: the newest revision, and the row version a transaction is conditional on. */
export interface Head {
    readonly revision: number;
    readonly rowVersion: number | undefined;
}

/** The store as the configuration task reads it. */
export interface StoreAccess {
    readonly table: TablePort;
    readonly clock: Clock;
}

/** Reads the head row; a missing row is revision 0. */
export async function readHead(store: StoreAccess): Promise<Result<Head, Failure>> {
    const row = await waitForStore(store.clock, store.table.readRow(HEAD_KEY), STORE_CALL_TIMEOUT_MS);
    return row.andThen(found =>
        found === undefined
            ? ok({ revision: 0, rowVersion: undefined })
            : decodeHead(found.value).map(revision => ({ revision, rowVersion: found.version })),
    );
}

/**
 * Reads the changes after one revision up to another. Fails with `NotFound` if some are no longer kept.
 */
export async function readChanges(
    store: StoreAccess,
    afterRevision: number,
    upToRevision: number,
): Promise<Result<readonly AcceptedChange[], Failure>> {
    const rows = await listAllRows(store, CHANGE_PREFIX, toChangeKey(afterRevision), upToRevision - afterRevision);
    const changes = rows.andThen(found => Result.combine(found.map(row => decodeChange(row.value))));
    return changes.andThen(found => {
        const wanted = found.filter(change => change.revision <= upToRevision);
        return wanted.length === upToRevision - afterRevision
            ? ok(wanted)
            : err(createFailure(FailureKind.NotFound, `Changes after revision ${afterRevision} are no longer kept.`));
    });
}

/**
 * Reads every item. Items may change between reads, so the changes accepted meanwhile are applied on top: since a
 * change sets or removes whole items, that gives exactly the configuration at the second reading of the head.
 */
export async function loadConfiguration(store: StoreAccess): Promise<Result<Configuration, Failure>> {
    const before = await readHead(store);
    if (before.isErr()) {
        return err(before.error);
    }
    const rows = await listAllRows(store, ITEM_PREFIX, undefined, Number.POSITIVE_INFINITY);
    const items = rows.andThen(found => Result.combine(found.map(row => decodeItem(row.value))));
    const after = await readHead(store);
    if (items.isErr() || after.isErr()) {
        return err(items.isErr() ? items.error : after._unsafeUnwrapErr());
    }
    const read = applyChange(createEmptyConfiguration(), { revision: before.value.revision, items: items.value });
    if (after.value.revision === before.value.revision) {
        return ok(read);
    }
    const changes = await readChanges(store, before.value.revision, after.value.revision);
    return changes.map(found => found.reduce(applyChange, read));
}

async function listAllRows(
    store: StoreAccess,
    prefix: string,
    startAfter: string | undefined,
    wanted: number,
): Promise<Result<readonly TableRow[], Failure>> {
    const collected: TableRow[] = [];
    let after = startAfter;
    while (collected.length < wanted) {
        const limit = Math.min(ROWS_PER_READ, wanted - collected.length);
        const listing = store.table.listRows(prefix, { after, limit });
        const page = await waitForStore(store.clock, listing, STORE_CALL_TIMEOUT_MS);
        if (page.isErr()) {
            return err(page.error);
        }
        collected.push(...page.value);
        after = page.value.at(-1)?.key;
        if (page.value.length < limit) {
            break;
        }
    }
    return ok(collected);
}
