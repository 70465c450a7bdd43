/**
 * @module A task that follows a table of the store.
 */
import type { Clock } from "../base/clock";
import { type TaskGenerator, superviseTask, waitFor } from "../base/csp";
import type { Disposable } from "../base/disposableStore";
import { FailureKind } from "../base/failure";
import { type Instant, readInstant } from "../base/instant";
import type { Log } from "../base/log/log";
import { createTaskFailureLogger } from "../base/log/createTaskFailureLogger";
import type { Random } from "../base/random";
import type { TableRows, WatchedRow, WatchedTablePort } from "../ports/watchedTable";
import { RETURN_GRACE_MS } from "./constants";

const FIRST_RETRY_MS = 50;
const LONGEST_RETRY_MS = 500;

/** What is followed and who is told. */
export interface TableWatchOptions {
    readonly table: string;
    readonly port: WatchedTablePort;
    readonly clock: Clock;
    readonly random: Random;
    readonly log: Log;
    /** How long the store may hold a call back while nothing changes. */
    readonly waitMs: number;
    /** Receives all rows, or changed ones; `wasStoreAway` while the store has just come back. */
    readonly handleRows: (rows: readonly WatchedRow[], isWholeTable: boolean, wasStoreAway: boolean) => void;
    /** Receives the moment at which the answered call was sent: the rows are no older than this. */
    readonly handleConfirmed: (sentAt: Instant, answer: TableRows) => void;
}

/**
 * Starts to follow a table: reads it whole, then its changes; whole again after the history was lost.
 *
 * @param options - What is followed
 * @returns Dispose of it to end it
 * @example
 * startTableWatch({ table: "op", port, clock, random, log, waitMs: 1_000, handleRows, handleConfirmed });
 */
export function startTableWatch(options: TableWatchOptions): Disposable {
    const { table, port, clock, random, log } = options;
    let isStopped = false;
    let revision: number | undefined;
    let failures = 0;
    let returnedAtMs = Number.NEGATIVE_INFINITY;

    const handleAnswer = (answer: TableRows, sentAt: Instant, isWholeTable: boolean) => {
        if (failures > 0) {
            returnedAtMs = clock.readMonotonicMs();
            log.info("store regained", { table, failures });
        }
        failures = 0;
        const wasStoreAway = clock.readMonotonicMs() - returnedAtMs < RETURN_GRACE_MS;
        if (isWholeTable || answer.rows.length > 0) {
            options.handleRows(answer.rows, isWholeTable, wasStoreAway);
        }
        revision = Math.max(revision ?? answer.revision, answer.revision);
        options.handleConfirmed(sentAt, answer);
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
                handleAnswer(result.value, sentAt, isWholeTable);
                continue;
            }
            if (result.isErr() && result.error.kind === FailureKind.HistoryLost) {
                log.info("history lost", { table, revision });
                revision = undefined;
                yield* waitFor(clock.waitMs(random.drawInteger(0, FIRST_RETRY_MS)));
                continue;
            }
            failures++;
            if (failures === 1) {
                log.warn("store lost", { table, reason: result.isErr() ? result.error.message : "an older revision" });
            }
            const limitMs = Math.min(LONGEST_RETRY_MS, FIRST_RETRY_MS * 2 ** failures);
            yield* waitFor(clock.waitMs(random.drawInteger(limitMs / 2, limitMs)));
        }
    };
    void superviseTask(`watch ${table}`, run, {
        clock,
        reportFailure: createTaskFailureLogger(log),
    });
    return {
        dispose: () => {
            isStopped = true;
        },
    };
}
