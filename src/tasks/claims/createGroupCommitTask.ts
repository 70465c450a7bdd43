/**
 * @module Commits the entries of many requests in one transaction, so that the number of transactions does not grow
 * with the number of requests.
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
    type Step,
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
    MAXIMUM_GROUP_ENTRIES,
    GROUP_WINDOW_MS,
    READ_BACK_DELAY_MS,
    MAXIMUM_COMMIT_ATTEMPTS,
} from "./constants";

/** Options of the group commit. */
export interface GroupCommitOptions {
    readonly table: TablePort;
    readonly clock: Clock;
    /** How long a group waits for further entries, in milliseconds (default 25). */
    readonly windowMs?: number;
    /** Maximum number of entries per transaction (default 128). */
    readonly maximumGroupEntries?: number;
}

/** The running group commit. After it is disposed of, it refuses further entries but still commits the queued ones. */
export type GroupCommitTask = CommitClient & Disposable & DumpSource;

/** New version of each written row; `undefined` if not known. */
type Versions = readonly (number | undefined)[];

/** An entry that has not been committed yet. */
interface PendingEntry {
    readonly entry: CommitEntry;
    readonly resolve: (result: Result<Versions, Failure>) => void;
    /** Tokens of the transactions that contained this entry and whose responses were lost. */
    readonly lostTokens: Set<string>;
}

/**
 * Starts the group commit, a js-csp task that sends one transaction at a time.
 *
 * @param options - Table, clock and limits of a group
 * @returns The commit client, which can also be dumped and disposed of
 * @example
 * const commits = createGroupCommitTask({ table, clock });
 * const versions = await commits.commitEntry({ conditions, writes });
 */
export function createGroupCommitTask(options: GroupCommitOptions): GroupCommitTask {
    const inbox = createChannel<PendingEntry>(COMMIT_QUEUE_CAPACITY);
    const counts = { entries: 0, transactions: 0, conflicts: 0, lostAnswers: 0 };
    const context: CommitContext = { table: options.table, clock: options.clock, counts };
    const groupEntries = options.maximumGroupEntries ?? MAXIMUM_GROUP_ENTRIES;
    const windowMs = options.windowMs ?? GROUP_WINDOW_MS;
    startTask("group commit", function* () {
        // An entry that uses a row of the last group and therefore begins the next one.
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
            yield* commitGroup(context, group.entries);
        }
    });
    return {
        name: "groupCommit",
        commitEntry: entry =>
            new Promise(resolve => {
                counts.entries++;
                if (!offerMessage(inbox, { entry, resolve, lostTokens: new Set<string>() })) {
                    resolve(
                        err(createFailure(FailureKind.StoreUnavailable, "Too many writes are waiting for the store.")),
                    );
                }
            }),
        dumpState: () => ({ ...counts }),
        dispose: () => closeChannel(inbox),
    };
}

/** Dependencies of the functions that commit a group. */
interface CommitContext {
    readonly table: TablePort;
    readonly clock: Clock;
    readonly counts: { entries: number; transactions: number; conflicts: number; lostAnswers: number };
}

/** Adds queued entries to a group until it is full, or until an entry uses a row that the group already uses. */
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

/** Lists the keys of all rows that an entry checks or writes. */
function listKeys(pending: PendingEntry): readonly string[] {
    const { conditions, writes } = pending.entry;
    return [...conditions.map(condition => condition.key), ...writes.map(write => write.key)];
}

/** Commits a group. After a conflict, commits each half separately, down to the single entry whose condition fails. */
function* commitGroup(context: CommitContext, group: readonly PendingEntry[]): Step<void> {
    const outcome = yield* commitWithReadBack(context, group);
    if (outcome.isErr() && outcome.error.kind === FailureKind.StoreConflict && group.length > 1) {
        const middle = Math.ceil(group.length / 2);
        yield* commitGroup(context, group.slice(0, middle));
        yield* commitGroup(context, group.slice(middle));
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

/** Commits a transaction. While responses are lost, reads the rows back and repeats it under the same conditions. */
function* commitWithReadBack(context: CommitContext, group: readonly PendingEntry[]): Step<Result<Versions, Failure>> {
    const conditions = group.flatMap(pending => pending.entry.conditions);
    const writes = group.flatMap(pending => pending.entry.writes);
    let failure = createUnknownOutcomeFailure();
    for (let tries = 0; tries < MAXIMUM_COMMIT_ATTEMPTS; tries++) {
        const token = ulid();
        context.counts.transactions++;
        const sent = context.table.commitTransaction({ token, conditions, writes });
        const outcome = yield* waitFor(waitForStore(context.clock, sent));
        if (outcome.isOk()) {
            return outcome;
        }
        failure = outcome.error;
        if (failure.kind === FailureKind.StoreConflict) {
            context.counts.conflicts++;
            return yield* resolveConflict(context, group, failure);
        }
        if (failure.kind !== FailureKind.StoreOutcomeUnknown) {
            return err(hasLostToken(group) ? createUnknownOutcomeFailure() : failure);
        }
        context.counts.lostAnswers++;
        group.forEach(pending => pending.lostTokens.add(token));
        yield* waitFor(context.clock.waitMs(READ_BACK_DELAY_MS));
        const readBack = yield* readBackGroup(context, group);
        if (readBack !== undefined) {
            return ok(readBack);
        }
    }
    return err(failure);
}

/** Reads the rows back after a conflict, which an earlier attempt whose response was lost may have caused itself. */
function* resolveConflict(
    context: CommitContext,
    group: readonly PendingEntry[],
    conflict: Failure,
): Step<Result<Versions, Failure>> {
    if (!hasLostToken(group)) {
        return err(conflict);
    }
    const readBack = yield* readBackGroup(context, group);
    if (readBack !== undefined) {
        return ok(readBack);
    }
    return err(group.length > 1 ? conflict : createUnknownOutcomeFailure());
}

/**
 * Reads the written rows back. If any row carries the token of a transaction whose response was lost, the whole group
 * took effect, because a transaction is atomic.
 */
function* readBackGroup(context: CommitContext, group: readonly PendingEntry[]): Step<Versions | undefined> {
    const versions: (number | undefined)[] = [];
    let hasTakenEffect = false;
    for (const pending of group) {
        for (const write of pending.entry.writes) {
            const row = yield* waitFor(waitForStore(context.clock, context.table.readRow(write.key)));
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

function createUnknownOutcomeFailure(): Failure {
    return createFailure(
        FailureKind.StoreOutcomeUnknown,
        "The store's response was lost; reading back did not show the outcome.",
        {
            execution: Execution.Unknown,
        },
    );
}
