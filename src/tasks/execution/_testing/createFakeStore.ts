/**
 * @module An in-memory table and object store with injected faults.
 */
import { err, ok, type Result } from "neverthrow";
import type { Clock } from "../../../base/clock";
import { createFailure } from "../../../base/createFailure";
import { Execution, type Failure, FailureKind } from "../../../base/failure";
import type { ObjectsPort } from "../../../ports/objects";
import type { TablePort, TableRow, TableTransaction } from "../../../ports/table";

/** What goes wrong with one call to the store. */
export enum StoreFault {
    None = "none",
    /** The call has no effect and fails with `StoreUnavailable`. */
    Unavailable = "unavailable",
    /** The call has no effect; the answer is lost. */
    LostBefore = "lost_before",
    /** The call takes effect; the answer is lost. */
    LostAfter = "lost_after",
    /** The answer is lost; the call takes effect later. */
    Late = "late",
}

/** Settings of the fake store. */
export interface FakeStoreOptions {
    readonly clock: Clock;
    /** Milliseconds each call takes (default 5). */
    readonly latencyMs?: number;
    /** Draws the fault of each call. */
    readonly drawFault?: (operation: "read" | "list" | "commit" | "object") => StoreFault;
    /** Milliseconds until a `Late` call takes effect (default 400). */
    readonly lateEffectDelayMs?: number;
}

/** A fake store, with its contents and the number of calls. */
export interface FakeStore {
    readonly table: TablePort;
    readonly objects: ObjectsPort;
    readonly rows: ReadonlyMap<string, TableRow>;
    readonly objectKeys: () => readonly string[];
    readonly counts: { reads: number; commits: number; objectWrites: number };
}

/**
 * Creates an empty store.
 *
 * @param options - Clock, latency and faults
 * @returns The ports and the contents of the store
 * @example
 * const store = createFakeStore({ clock });
 */
export function createFakeStore(options: FakeStoreOptions): FakeStore {
    const { clock } = options;
    const rows = new Map<string, TableRow>();
    const objects = new Map<string, Buffer>();
    const counts = { reads: 0, commits: 0, objectWrites: 0 };
    let version = 0;
    const apply = (transaction: TableTransaction): Result<readonly number[], Failure> => {
        const isConditionMet = transaction.conditions.every(
            ({ key, version: expectedVersion }) => rows.get(key)?.version === expectedVersion,
        );
        if (!isConditionMet) {
            return err(createFailure(FailureKind.StoreConflict, "A condition did not hold."));
        }
        return ok(
            transaction.writes.map(({ key, value }) => {
                version++;
                if (value === undefined) {
                    rows.delete(key);
                } else {
                    rows.set(key, { key, value, version, token: transaction.token });
                }
                return version;
            }),
        );
    };
    const runCall = async <T>(
        operation: "read" | "list" | "commit" | "object",
        call: () => Result<T, Failure>,
    ): Promise<Result<T, Failure>> => {
        const fault = options.drawFault?.(operation) ?? StoreFault.None;
        await clock.waitMs(options.latencyMs ?? 5);
        return FAULTS[fault](call, clock, options.lateEffectDelayMs ?? 400) as Result<T, Failure>;
    };
    const listKeys = (keys: Iterable<string>, prefix: string, page: { after?: string; limit?: number } = {}) =>
        [...keys]
            .filter(key => key.startsWith(prefix) && key > (page.after ?? ""))
            .sort()
            .slice(0, page.limit ?? 1_000);
    const table: TablePort = {
        readRow: key => {
            counts.reads++;
            return runCall("read", () => ok(rows.get(key)));
        },
        listRows: (prefix, page) => {
            counts.reads++;
            return runCall("list", () => ok(listKeys(rows.keys(), prefix, page).map(key => rows.get(key) as TableRow)));
        },
        commitTransaction: transaction => {
            counts.commits++;
            return runCall("commit", () => apply(transaction));
        },
    };
    const objectsPort: ObjectsPort = {
        writeObject: (key, body) => {
            counts.objectWrites++;
            return runCall("object", () => {
                objects.set(key, Buffer.from(body));
                return ok(undefined);
            });
        },
        readObject: (key, range) =>
            runCall("object", () => {
                const body = objects.get(key);
                return body === undefined
                    ? err(createFailure(FailureKind.NotFound, "There is no such object."))
                    : ok(body.subarray(range?.start, range?.end));
            }),
        deleteObject: key =>
            runCall("object", () => {
                objects.delete(key);
                return ok(undefined);
            }),
        listObjects: (prefix, page) => runCall("list", () => ok(listKeys(objects.keys(), prefix, page))),
    };
    return { table, objects: objectsPort, rows, objectKeys: () => [...objects.keys()], counts };
}

type Call = () => Result<unknown, Failure>;

const FAULTS: Readonly<
    Record<StoreFault, (call: Call, clock: Clock, lateEffectDelayMs: number) => Result<unknown, Failure>>
> = {
    [StoreFault.None]: call => call(),
    [StoreFault.Unavailable]: () => err(createFailure(FailureKind.StoreUnavailable, "The store is unavailable.")),
    [StoreFault.LostBefore]: () => err(createLostAnswer()),
    [StoreFault.LostAfter]: call => {
        call();
        return err(createLostAnswer());
    },
    [StoreFault.Late]: (call, clock, lateEffectDelayMs) => {
        void clock.waitMs(lateEffectDelayMs).then(() => call());
        return err(createLostAnswer());
    },
};

function createLostAnswer(): Failure {
    return createFailure(FailureKind.StoreOutcomeUnknown, "The answer was lost.", { execution: Execution.Unknown });
}
