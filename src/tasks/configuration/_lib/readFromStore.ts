/**
 * @module Reads the configuration from the table.
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
import { ROWS_PER_PAGE, STORE_CALL_TIMEOUT_MS } from "./constants";
import { CHANGE_PREFIX, decodeChange, decodeHead, decodeItem, HEAD_KEY, ITEM_PREFIX, toChangeKey } from "./rows";

/** The head row: the newest revision, and the version of the row on which transactions are conditional. */
export interface ConfigurationHead {
    readonly revision: number;
    readonly rowVersion: number | undefined;
}

/** The table that stores the configuration, and the clock that times out its calls. */
export interface StoreAccess {
    readonly table: TablePort;
    readonly clock: Clock;
}

/** Reads the head row; a missing row means revision 0. */
export async function readHead(store: StoreAccess): Promise<Result<ConfigurationHead, Failure>> {
    const row = await waitForStore(store.clock, store.table.readRow(HEAD_KEY), STORE_CALL_TIMEOUT_MS);
    return row.andThen(found =>
        found === undefined
            ? ok({ revision: 0, rowVersion: undefined })
            : decodeHead(found.value).map(revision => ({ revision, rowVersion: found.version })),
    );
}

/**
 * Reads the changes after `afterRevision` up to and including `upToRevision`. Fails with `NotFound` if some are no
 * longer retained.
 */
export async function readChanges(
    store: StoreAccess,
    afterRevision: number,
    upToRevision: number,
): Promise<Result<readonly AcceptedChange[], Failure>> {
    const rows = await listAllRows(store, CHANGE_PREFIX, toChangeKey(afterRevision), upToRevision - afterRevision);
    const changes = rows.andThen(found => Result.combine(found.map(row => decodeChange(row.value))));
    return changes.andThen(found => {
        const changesInRange = found.filter(change => change.revision <= upToRevision);
        return changesInRange.length === upToRevision - afterRevision
            ? ok(changesInRange)
            : err(
                  createFailure(
                      FailureKind.NotFound,
                      `Changes after revision ${afterRevision} are no longer retained.`,
                  ),
              );
    });
}

/**
 * Reads every item. Items may change between reads, so the changes committed between the first and the second read of
 * the head are applied on top. Since a change sets or removes whole items, the result is exactly the configuration at
 * the second read of the head.
 */
export async function loadConfiguration(store: StoreAccess): Promise<Result<Configuration, Failure>> {
    const headBefore = await readHead(store);
    if (headBefore.isErr()) {
        return err(headBefore.error);
    }
    const rows = await listAllRows(store, ITEM_PREFIX, undefined, Number.POSITIVE_INFINITY);
    const items = rows.andThen(found => Result.combine(found.map(row => decodeItem(row.value))));
    const headAfter = await readHead(store);
    if (items.isErr() || headAfter.isErr()) {
        return err(items.isErr() ? items.error : headAfter._unsafeUnwrapErr());
    }
    const loaded = applyChange(createEmptyConfiguration(), { revision: headBefore.value.revision, items: items.value });
    if (headAfter.value.revision === headBefore.value.revision) {
        return ok(loaded);
    }
    const changes = await readChanges(store, headBefore.value.revision, headAfter.value.revision);
    return changes.map(found => found.reduce(applyChange, loaded));
}

async function listAllRows(
    store: StoreAccess,
    prefix: string,
    startAfter: string | undefined,
    maximumRows: number,
): Promise<Result<readonly TableRow[], Failure>> {
    const collected: TableRow[] = [];
    let after = startAfter;
    while (collected.length < maximumRows) {
        const limit = Math.min(ROWS_PER_PAGE, maximumRows - collected.length);
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
