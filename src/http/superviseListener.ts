/**
 * @module Keeps a server listening on its address, and owns the errors of the server.
 */
import type http from "node:http";
import { setTimeout as pauseMs } from "node:timers/promises";
import { err, ok, type Result } from "neverthrow";
import type { Clock } from "../base/clock";
import { createFailure } from "../base/createFailure";
import { type Failure, FailureKind } from "../base/failure";
import type { Log } from "../base/log/log";
import { type ListenAddress, startListening } from "./startListening";

const RETRY_PERIOD_MS = 200;
/** A problem that lasts is logged once in this time. */
const LOG_PERIOD_MS = 10_000;

/** A server, and where it has to listen. */
export interface ListenerTarget extends ListenAddress {
    /** Names the listener in log lines, failures and dumps. */
    readonly name: string;
    readonly server: http.Server;
}

/** How a listener is supervised. */
export interface ListenerSupervision {
    readonly clock: Clock;
    readonly log: Log;
    /** How long the address is tried before the start has failed. Default: until the signal is aborted. */
    readonly limitMs?: number;
    /** Ends the retries when it is aborted. */
    readonly signal: AbortSignal;
}

/** State of a listener, for dumps. */
export interface ListenerState extends ListenAddress {
    readonly isListening: boolean;
    /** Number of attempts to listen that failed. */
    readonly failedAttempts: number;
    /** Number of errors while the server listened, such as connections that could not be accepted. */
    readonly errors: number;
    readonly lastError: string | undefined;
}

/** A listener that is started again when it fails. */
export interface SupervisedListener {
    readonly name: string;
    /** Settles once the server listens, the limit is over or the signal is aborted; never rejects. */
    readonly whenStarted: Promise<Result<void, Failure>>;
    isListening(): boolean;
    readState(): ListenerState;
}

/**
 * Starts a listener, and tries again while its address can't be listened on: another process may still hold the port,
 * or the address may not be up yet. Errors of the server after its start are logged and counted; they never reach the
 * process as uncaught exceptions.
 *
 * @param target - The server and its address
 * @param supervision - Clock, log, limit and signal
 * @returns The listener
 * @example
 * const listener = superviseListener({ name: "callers", server, address, port }, { clock, log, limitMs, signal });
 * const started = await listener.whenStarted;
 */
export function superviseListener(target: ListenerTarget, supervision: ListenerSupervision): SupervisedListener {
    const { name, server, address, port } = target;
    const { clock, log, limitMs = Number.POSITIVE_INFINITY, signal } = supervision;
    const fields = { listener: name, address, port };
    const counts = { failedAttempts: 0, errors: 0 };
    let lastError: string | undefined;
    let loggedAtMs = Number.NEGATIVE_INFINITY;
    let isStarting = false;

    const logProblem = (message: string, error: Error) => {
        const nowMs = clock.readMonotonicMs();
        if (error.message !== lastError || nowMs - loggedAtMs >= LOG_PERIOD_MS) {
            loggedAtMs = nowMs;
            log.error(message, { ...fields, ...counts, reason: error.message });
        }
        lastError = error.message;
    };
    const tryToListen = async (): Promise<boolean> => {
        try {
            await startListening(server, target);
            log.info("listener listens", { ...fields, ...counts });
            return true;
        } catch (error) {
            counts.failedAttempts++;
            logProblem("listener can't listen", error as Error);
            return false;
        }
    };
    const start = async (untilMs: number): Promise<Result<void, Failure>> => {
        isStarting = true;
        while (!(await tryToListen())) {
            if (clock.readMonotonicMs() >= untilMs) {
                isStarting = false;
                return err(createStartFailure(target, lastError));
            }
            await pauseMs(RETRY_PERIOD_MS, undefined, { signal }).catch(() => undefined);
            if (signal.aborted) {
                isStarting = false;
                return err(createFailure(FailureKind.ShuttingDown, `The start of the listener ${name} was ended.`));
            }
        }
        isStarting = false;
        return ok(undefined);
    };
    server.on("error", error => {
        if (isStarting) {
            return;
        }
        counts.errors++;
        logProblem("listener error", error);
        if (!server.listening && !signal.aborted) {
            void start(Number.POSITIVE_INFINITY);
        }
    });
    return {
        name,
        whenStarted: start(clock.readMonotonicMs() + limitMs),
        isListening: () => server.listening,
        readState: () => ({ address, port, isListening: server.listening, ...counts, lastError }),
    };
}

function createStartFailure({ name, address, port }: ListenerTarget, reason = ""): Failure {
    const message = `The listener ${name} can't listen on ${address}:${port}: ${reason}.`;
    return createFailure(FailureKind.AddressUnavailable, message);
}
