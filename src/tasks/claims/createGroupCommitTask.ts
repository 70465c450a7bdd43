/**
 * @module Commits entries of many requests in one transaction, so that writes do not grow with requests.
 */
import { err, ok, type Result } from "neverthrow";
import { ulid } from "ulid";
import type { Clock } from "../../base/clock";
import { createFailure } from "../../base/createFailure";
import {
    closeChannel,
    createChannel,
    offerMessage,
    pollMessage,
    startTask,
    type TaskGenerator,
    take,
    waitFor,
} from "../../base/csp";
import type { Disposable } from "../../base/disposableStore";
import type { DumpSource } from "../../base/dump";
import { Execution, type Failure, FailureKind } from "../../base/failure";
import type { TablePort } from "../../ports/table";
import { waitForStore } from "../../ports/waitForStore";
import type { CommitClient, CommitEntry } from "./commitClient";
import {
    COMMIT_QUEUE_CAPACITY,
    GROUP_ENTRIES,
    GROUP_WINDOW_MS,
    READ_BACK_PAUSE_MS,
    UNKNOWN_COMMIT_TRIES,
} from "./constants";

/** What the group commit needs. */
export interface GroupCommitOptions {
    readonly table: TablePort;
    readonly clock: Clock;
    /** Milliseconds a group waits for further entries (default 25). */
    readonly windowMs?: number;
    /** Entries of one transaction (default 128). */
    readonly groupEntries?: number;
}

/** The running group commit. Disposing of it refuses further entries; those accepted are still committed. */
export type GroupCommitTask = CommitClient & Disposable & DumpSource;

type Versions = readonly (number | undefined)[];

interface PendingEntry {
    readonly entry: CommitEntry;
    readonly resolve: (result: Result<Versions, Failure>) => void;
    /** Tokens under which this entry was sent and the answer lost. */
    readonly lostTokens: Set<string>;
}

/**
 * Starts the group commit: one js-csp task with one transaction in flight.
 *
 * @param options - The table, the clock and the size of groups
 * @returns The client
 * @example
 * const commits = createGroupCommitTask({ table, clock });
 * const versions = await commits.commitEntry({ conditions, writes });
 */
export function createGroupCommitTask(options: GroupCommitOptions): GroupCommitTask {
    const inbox = createChannel<PendingEntry>(COMMIT_QUEUE_CAPACITY);
    const counts = { entries: 0, transactions: 0, conflicts: 0, lostAnswers: 0 };
    const parts: CommitParts = { table: options.table, clock: options.clock, counts };
    const groupEntries = options.groupEntries ?? GROUP_ENTRIES;
    const windowMs = options.windowMs ?? GROUP_WINDOW_MS;
    startTask("group commit", function* () {
        let carried: PendingEntry | undefined;
        for (;;) {
            const first: PendingEntry | undefined = carried ?? (yield* take(inbox));
            if (first === undefined) {
                return;
            }
            if (windowMs > 0) {
                yield* waitFor(options.clock.waitMs(windowMs));
            }
            const group = collectGroup(first, inbox, groupEntries);
            carried = group.carried;
            yield* commitGroup(parts, group.entries);
        }
    });
    return {
        name: "groupCommit",
        commitEntry: entry =>
            new Promise(resolve => {
                counts.entries++;
                if (!offerMessage(inbox, { entry, resolve, lostTokens: new Set<string>() })) {
                    resolve(err(createFailure(FailureKind.StoreUnavailable, "Too many writes wait for the store.")));
                }
            }),
        dumpState: () => ({ ...counts }),
        dispose: () => closeChannel(inbox),
    };
}

interface CommitParts {
    readonly table: TablePort;
    readonly clock: Clock;
    readonly counts: { entries: number; transactions: number; conflicts: number; lostAnswers: number };
}

/** Takes waiting entries until the group is full or an entry touches a row of the group. */
function collectGroup(
    first: PendingEntry,
    inbox: ReturnType<typeof createChannel<PendingEntry>>,
    limit: number,
): { readonly entries: readonly PendingEntry[]; readonly carried?: PendingEntry } {
    const entries = [first];
    const keys = new Set(listKeys(first));
    while (entries.length < limit) {
        const next = pollMessage(inbox);
        if (next === undefined) {
            break;
        }
        if (listKeys(next).some(key => keys.has(key))) {
            return { entries, carried: next };
        }
        entries.push(next);
        listKeys(next).forEach(key => keys.add(key));
    }
    return { entries };
}

function listKeys(pending: PendingEntry): readonly string[] {
    const { conditions, writes } = pending.entry;
    return [...conditions.map(condition => condition.key), ...writes.map(write => write.key)];
}

/** Commits a group; on a conflict each half is committed by itself, down to the entry whose condition fails. */
function* commitGroup(parts: CommitParts, group: readonly PendingEntry[]): TaskGenerator<void> {
    const outcome = yield* commitOnce(parts, group);
    if (outcome.isErr() && outcome.error.kind === FailureKind.StoreConflict && group.length > 1) {
        const middle = Math.ceil(group.length / 2);
        yield* commitGroup(parts, group.slice(0, middle));
        yield* commitGroup(parts, group.slice(middle));
        return;
    }
    if (outcome.isErr()) {
        group.forEach(pending => pending.resolve(err(outcome.error)));
        return;
    }
    let next = 0;
    for (const pending of group) {
        const { length } = pending.entry.writes;
        pending.resolve(ok(outcome.value.slice(next, next + length)));
        next += length;
    }
}

/** Commits a transaction, reading back and repeating under the same conditions while its answers are lost. */
function* commitOnce(parts: CommitParts, group: readonly PendingEntry[]): TaskGenerator<Result<Versions, Failure>> {
    const conditions = group.flatMap(pending => pending.entry.conditions);
    const writes = group.flatMap(pending => pending.entry.writes);
    let failure = createUnknown();
    for (let tries = 0; tries < UNKNOWN_COMMIT_TRIES; tries++) {
        const token = ulid();
        parts.counts.transactions++;
        const sent = parts.table.commitTransaction({ token, conditions, writes });
        const outcome = yield* waitFor(waitForStore(parts.clock, sent));
        if (outcome.isOk()) {
            return outcome;
        }
        failure = outcome.error;
        if (failure.kind === FailureKind.StoreConflict) {
            parts.counts.conflicts++;
            return yield* explainConflict(parts, group, failure);
        }
        if (failure.kind !== FailureKind.StoreOutcomeUnknown) {
            return err(hasLostToken(group) ? createUnknown() : failure);
        }
        parts.counts.lostAnswers++;
        group.forEach(pending => pending.lostTokens.add(token));
        yield* waitFor(parts.clock.waitMs(READ_BACK_PAUSE_MS));
        const readBack = yield* readBackGroup(parts, group);
        if (readBack !== undefined) {
            return ok(readBack);
        }
    }
    return err(failure);
}

/** A conflict may come from an earlier try of the same entries whose answer was lost. */
function* explainConflict(
    parts: CommitParts,
    group: readonly PendingEntry[],
    conflict: Failure,
): TaskGenerator<Result<Versions, Failure>> {
    if (!hasLostToken(group)) {
        return err(conflict);
    }
    const readBack = yield* readBackGroup(parts, group);
    if (readBack !== undefined) {
        return ok(readBack);
    }
    return err(group.length > 1 ? conflict : createUnknown());
}

/** Reads the written rows; a single lost token in any of them shows that the whole group took effect. */
function* readBackGroup(parts: CommitParts, group: readonly PendingEntry[]): TaskGenerator<Versions | undefined> {
    const versions: (number | undefined)[] = [];
    let hasTakenEffect = false;
    for (const pending of group) {
        for (const write of pending.entry.writes) {
            const row = yield* waitFor(waitForStore(parts.clock, parts.table.readRow(write.key)));
            const isOwn = row.isOk() && row.value !== undefined && pending.lostTokens.has(row.value.token);
            hasTakenEffect ||= isOwn;
            versions.push(isOwn ? row.value?.version : undefined);
        }
    }
    return hasTakenEffect ? versions : undefined;
}

function hasLostToken(group: readonly PendingEntry[]): boolean {
    return group.some(pending => pending.lostTokens.size > 0);
}

function createUnknown(): Failure {
    return createFailure(FailureKind.StoreOutcomeUnknown, "The store's answer was lost and could not be read back.", {
        execution: Execution.Unknown,
    });
}
