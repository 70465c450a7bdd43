/**
 * @module Tries to listen on an address until it succeeds or its time is over.
 */
import { setTimeout as pauseMs } from "node:timers/promises";
import { err, ok, type Result, ResultAsync } from "neverthrow";
import type { Clock } from "../base/clock";
import { createFailure } from "../base/createFailure";
import { type Failure, FailureKind } from "../base/failure";
import type { Log } from "../base/log/log";
import type { ListenAddress } from "./startListening";

const RETRY_PERIOD_MS = 200;

/** How the start of a listener is supervised. */
export interface ListenerSupervision {
    readonly clock: Clock;
    readonly log: Log;
    /** How long the address is tried before the start has failed. Default: until the signal is aborted. */
    readonly limitMs?: number;
    /** Ends the retries when it is aborted. */
    readonly signal: AbortSignal;
}

/** What is tried. */
export interface ListenAttempts<T> extends ListenAddress {
    /** Names the listener in failures. */
    readonly name: string;
    /** Rejects if the address can't be listened on. */
    readonly listen: () => Promise<T>;
    readonly reportProblem: (error: Error) => void;
}

/**
 * Tries to listen again and again: another process may still hold the port, or the address may not be up yet.
 *
 * @param attempts - The listener and its address
 * @param supervision - Clock, limit and signal
 * @returns What `listen` gave; `AddressUnavailable` after the limit, `ShuttingDown` if the signal is aborted; never
 * rejects
 * @example
 * const started = await retryListening({ name: "callers", address, port, listen, reportProblem }, supervision);
 */
export async function retryListening<T>(
    { name, address, port, listen, reportProblem }: ListenAttempts<T>,
    { clock, limitMs = Number.POSITIVE_INFINITY, signal }: Omit<ListenerSupervision, "log">,
): Promise<Result<T, Failure>> {
    const untilMs = clock.readMonotonicMs() + limitMs;
    for (;;) {
        const attempt = await ResultAsync.fromPromise(listen(), error => error as Error);
        if (attempt.isOk()) {
            return ok(attempt.value);
        }
        reportProblem(attempt.error);
        if (clock.readMonotonicMs() >= untilMs) {
            const message = `The listener ${name} can't listen on ${address}:${port}: ${attempt.error.message}.`;
            return err(createFailure(FailureKind.AddressUnavailable, message));
        }
        await pauseMs(RETRY_PERIOD_MS, undefined, { signal }).catch(() => undefined);
        if (signal.aborted) {
            return err(createFailure(FailureKind.ShuttingDown, `The start of the listener ${name} was ended.`));
        }
    }
}
