/**
 * @module Keeps a server listening on its address, and owns the errors of the server.
 */
import type http from "node:http";
import type { Result } from "neverthrow";
import type { Failure } from "../base/failure";
import { createProblemLog } from "./createProblemLog";
import { type ListenerSupervision, retryListening } from "./retryListening";
import { type ListenAddress, startListening } from "./startListening";

/** A server, and where it has to listen. */
export interface ListenerTarget extends ListenAddress {
    /** Names the listener in log lines, failures and dumps. */
    readonly name: string;
    readonly server: http.Server;
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
 * Starts a listener, and tries again while its address can't be listened on. Errors of the server after its start are
 * logged and counted; they never reach the process as uncaught exceptions.
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
    const { clock, log, signal } = supervision;
    const fields = { listener: name, address, port };
    const counts = { failedAttempts: 0, errors: 0 };
    const problems = createProblemLog(clock, log);
    let isStarting = false;

    const listen = async () => {
        await startListening(server, target);
        isStarting = false;
        log.info("listener listens", { ...fields, ...counts });
    };
    const reportProblem = (error: Error) => {
        counts.failedAttempts++;
        problems.logProblem("listener can't listen", error, { ...fields, ...counts });
    };
    const start = (limitMs: number | undefined) => {
        isStarting = true;
        return retryListening({ name, address, port, listen, reportProblem }, { clock, limitMs, signal });
    };
    server.on("error", error => {
        if (isStarting) {
            return;
        }
        counts.errors++;
        problems.logProblem("listener error", error, { ...fields, ...counts });
        if (!server.listening && !signal.aborted) {
            void start(undefined);
        }
    });
    return {
        name,
        whenStarted: start(supervision.limitMs),
        isListening: () => server.listening,
        readState: () => ({
            address,
            port,
            isListening: server.listening,
            ...counts,
            lastError: problems.readLastError(),
        }),
    };
}
