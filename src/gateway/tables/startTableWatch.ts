/**
 * @module A task that watches a table of the store.
 */
import type { Clock } from "../../base/clock";
import { type TaskGenerator, waitFor } from "../../base/csp/index";
import type { Disposable } from "../../base/disposableStore";
import { FailureKind } from "../../base/failure";
import { type Instant, readInstant, moveInstant } from "../../base/instant";
import type { Log } from "../../base/log/log";
import type { Random } from "../../base/random";
import type { TableRows, WatchedRow, WatchedTablePort } from "../../ports/watchedTable";
import { STORE_RECOVERY_GRACE_MS } from "../constants";
import { FailureOwner, type FailureReporter } from "../process/createFailureReporter";
import type { TableSnapshot } from "./createTableSnapshot";
import { startLoop } from "../process/startLoop";

const RETRY_INITIAL_MS = 50;
const RETRY_MAX_MS = 500;

/** The table to watch, the handlers of its rows, and dependencies. */
export interface TableWatchOptions {
    readonly table: string;
    readonly port: WatchedTablePort;
    readonly clock: Clock;
    readonly random: Random;
    readonly log: Log;
    /** How long the store may delay its answer to a call while nothing changes (long polling). */
    readonly waitMs: number;
    /** Receives all rows or the changed ones; `isStoreRecovering` is true for a grace time after a store outage. */
    readonly handleRows: (rows: readonly WatchedRow[], isWholeTable: boolean, isStoreRecovering: boolean) => void;
    /** Receives the time at which the store was asked; the known rows were current at that time or later. */
    readonly handleConfirmation: (askedAt: Instant, answer: TableRows) => void;
    /** Receives what the handlers throw; the same rows are asked for again. */
    readonly reportFailure: FailureReporter;
    /** Receives each answer, after its rows were handled, for other nodes that ask this one. */
    readonly snapshot?: Pick<TableSnapshot, "recordAnswer" | "recordFailure">;
}

/**
 * Starts to watch a table: reads all rows and then their changes, and all rows again if the store no longer has the
 * history of changes.
 *
 * @param options - The table, the handlers and dependencies
 * @returns Dispose of it to stop the watch
 * @example
 * startTableWatch({ table: "op", port, clock, random, log, waitMs: 1_000, handleRows, handleConfirmation });
 */
export function startTableWatch(options: TableWatchOptions): Disposable {
    const { table, port, clock, random, log } = options;
    let isStopped = false;
    let revision: number | undefined;
    let failures = 0;
    /** Answers in a row whose handlers have thrown. */
    let unhandledAnswers = 0;
    let recoveredAtMs = Number.NEGATIVE_INFINITY;

    const handleAnswer = (answer: TableRows, sentAt: Instant, isWholeTable: boolean) => {
        if (failures > 0) {
            recoveredAtMs = clock.readMonotonicMs();
            log.info("store regained", { table, failures });
        } else if (answer.isStoreRecovering === true) {
            recoveredAtMs = clock.readMonotonicMs();
        }
        failures = 0;
        const isStoreRecovering = clock.readMonotonicMs() - recoveredAtMs < STORE_RECOVERY_GRACE_MS;
        if (isWholeTable || answer.rows.length > 0) {
            options.handleRows(answer.rows, isWholeTable, isStoreRecovering);
        }
        const askedAt = moveInstant(sentAt, answer.askedAfterMs ?? 0);
        options.handleConfirmation(askedAt, answer);
        options.snapshot?.recordAnswer(answer, { askedAt, isWholeTable, isStoreRecovering });
        // Last: if any of these throws, the same rows are asked for again.
        revision = Math.max(revision ?? answer.revision, answer.revision);
    };
    /** Handles an answer; gives false if that fails. Its rows count as unknown then. */
    const tryAnswer = (answer: TableRows, sentAt: Instant, isWholeTable: boolean): boolean => {
        try {
            handleAnswer(answer, sentAt, isWholeTable);
            unhandledAnswers = 0;
            return true;
        } catch (error) {
            unhandledAnswers++;
            options.reportFailure(FailureOwner.Watch, error, { table });
            options.snapshot?.recordFailure();
            return false;
        }
    };
    const computePauseMs = (failuresInARow: number) => {
        const limitMs = Math.min(RETRY_MAX_MS, RETRY_INITIAL_MS * 2 ** failuresInARow);
        return random.drawInteger(limitMs / 2, limitMs);
    };
    const run = function* (): TaskGenerator<void> {
        while (!isStopped) {
            const sentAt = readInstant(clock);
            const isWholeTable = revision === undefined;
            const result = yield* waitFor(
                revision === undefined
                    ? port.readTable(table)
                    : port.waitForChanges(table, revision, failures > 0 ? 0 : options.waitMs),
            );
            if (result.isOk() && result.value.revision >= (revision ?? 0)) {
                if (!tryAnswer(result.value, sentAt, isWholeTable)) {
                    yield* waitFor(clock.waitMs(computePauseMs(unhandledAnswers)));
                }
                continue;
            }
            if (result.isErr() && result.error.kind === FailureKind.HistoryLost) {
                log.info("history lost", { table, revision });
                revision = undefined;
                yield* waitFor(clock.waitMs(random.drawInteger(0, RETRY_INITIAL_MS)));
                continue;
            }
            if (result.isErr() && result.error.kind === FailureKind.RelayUnavailable) {
                yield* waitFor(clock.waitMs(random.drawInteger(RETRY_INITIAL_MS / 2, RETRY_INITIAL_MS)));
                continue;
            }
            failures++;
            options.snapshot?.recordFailure();
            if (failures === 1) {
                log.warn("store lost", {
                    table,
                    reason: result.isErr() ? result.error.message : "the answer has an older revision",
                });
            }
            yield* waitFor(clock.waitMs(computePauseMs(failures)));
        }
    };
    startLoop(FailureOwner.Watch, run, options);
    return {
        dispose: () => {
            isStopped = true;
        },
    };
}
