/**
 * @module The rows of a watched table as this node knows them, for other nodes that read them from it.
 */
import type { Clock } from "../../base/clock";
import { computeElapsedMs, type Instant, readInstant } from "../../base/instant";
import type { TableRows, WatchedRow } from "../../ports/watchedTable";

/** Time for which removed rows are kept, so that a reader that was away for a while needs no whole table. */
const REMOVED_ROW_RETENTION_MS = 30_000;

/** How the store was asked for an answer. */
export interface AnswerOrigin {
    readonly askedAt: Instant;
    readonly isWholeTable: boolean;
    readonly isStoreRecovering: boolean;
}

/** Rows after a revision, or all of them, and how current they are. */
export interface SnapshotRows extends Required<Pick<TableRows, "rows" | "revision" | "isStoreRecovering">> {
    readonly isWholeTable: boolean;
    /** Upper bound of the time since the store was asked for them. */
    readonly ageMs: number;
}

/** The rows of one table. */
export interface TableSnapshot {
    /** Takes an answer of the watch of this node. */
    recordAnswer(answer: TableRows, origin: AnswerOrigin): void;
    /** Records that the store failed this node; true for `isFailing` until the next answer. */
    recordFailure(): void;
    isFailing(): boolean;
    /** Gives the rows after a revision, or all if the changes since then aren't kept; `undefined` before any answer. */
    readRows(sinceRevision: number | undefined): SnapshotRows | undefined;
    /** Resolves with the next answer or failure, or after a time. */
    waitForAnswer(waitMs: number): Promise<void>;
}

interface KeptRow {
    readonly row: WatchedRow;
    readonly recordedAtMs: number;
}

/**
 * Creates a snapshot without rows.
 *
 * @param clock - Measures the age of the rows
 * @returns The snapshot
 * @example
 * snapshot.readRows(41)?.rows;
 */
export function createTableSnapshot(clock: Clock): TableSnapshot {
    const kept = new Map<string, KeptRow>();
    const waiters = new Set<() => void>();
    let latest: { readonly revision: number; readonly origin: AnswerOrigin } | undefined;
    let completeFromRevision = 0;
    let isFailing = false;

    const expireRemovedRows = (revision: number) => {
        for (const [key, { row, recordedAtMs }] of kept) {
            if (row.value === undefined && clock.readMonotonicMs() - recordedAtMs > REMOVED_ROW_RETENTION_MS) {
                kept.delete(key);
                completeFromRevision = Math.max(completeFromRevision, Math.min(row.version, revision));
            }
        }
    };
    const resolveWaiters = () => {
        const waiting = [...waiters];
        waiters.clear();
        waiting.forEach(resolve => resolve());
    };
    return {
        recordAnswer: (answer, origin) => {
            if (origin.isWholeTable) {
                kept.clear();
                completeFromRevision = answer.revision;
            }
            const recordedAtMs = clock.readMonotonicMs();
            answer.rows.forEach(row => kept.set(row.key, { row, recordedAtMs }));
            latest = { revision: Math.max(answer.revision, latest?.revision ?? 0), origin };
            expireRemovedRows(latest.revision);
            isFailing = false;
            resolveWaiters();
        },
        recordFailure: () => {
            isFailing = true;
            resolveWaiters();
        },
        isFailing: () => isFailing,
        readRows: sinceRevision => {
            if (latest === undefined) {
                return undefined;
            }
            const isWholeTable = sinceRevision === undefined || sinceRevision < completeFromRevision;
            const rows = [...kept.values()].map(({ row }) => row);
            return {
                rows: isWholeTable
                    ? rows.filter(({ value }) => value !== undefined)
                    : rows.filter(({ version }) => version > sinceRevision),
                revision: latest.revision,
                isStoreRecovering: latest.origin.isStoreRecovering,
                isWholeTable,
                ageMs: computeElapsedMs(latest.origin.askedAt, readInstant(clock)),
            };
        },
        waitForAnswer: waitMs =>
            new Promise(resolve => {
                const finish = () => {
                    waiters.delete(finish);
                    resolve();
                };
                waiters.add(finish);
                clock.waitMs(waitMs).then(finish, finish);
            }),
    };
}
