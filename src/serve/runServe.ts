/**
 * @module `redwinglift serve`: one node as a process.
 */
import { createFailure } from "../base/createFailure";
import { type Failure, FailureKind } from "../base/failure";
import { FailureError } from "../base/failureError";
import type { Log } from "../base/log/log";
import { chooseExitCode, ExitCode } from "../cli/exitCode";
import { ControlSignal, type ProcessSignals, type StopSignal } from "../base/processSignals";
import { Metric, MetricTag } from "../base/metrics/metric";
import { createNodeParts } from "../createNodeParts";
import type { Settings } from "../settings/settings";
import { type RunningNode, wireNode } from "../wire";
import { logStrayErrors } from "./logStrayErrors";
import { writeDumpOnSignal } from "./writeDumpOnSignal";

/** Time in which a second signal ends what is in progress, and its failures are sent. */
const END_MS = 2_000;

/** A former process may hold an address for the time of its drain; so long after that, the start has failed. */
const LISTEN_MARGIN_MS = 5_000;

/**
 * Runs a node until a signal ends it. `SIGTERM` and `SIGINT` drain it, also while it starts; a second one ends what is in
 * progress with failures. `SIGHUP` changes nothing: files of keys are watched. `SIGUSR2` writes a dump of its state to
 * the standard error stream as one line of JSON.
 *
 * @param settings - Its checked settings
 * @param signals - The signals of the process
 * @returns The exit code: 0 after a complete drain or a start that a signal ended, 1 if answers were cut, another one if
 * the start failed
 * @example
 * process.exitCode = await runServe(settings, installSignalHandlers());
 */
export async function runServe(settings: Settings, signals: ProcessSignals): Promise<number> {
    const [firstStop, secondStop] = [signals.takeStop(), signals.takeStop()];
    const parts = createNodeParts(settings);
    const { log } = parts;
    logStrayErrors(log, origin => parts.metrics.count(Metric.UnhandledErrors, { [MetricTag.Origin]: origin }));
    signals.setHandler(ControlSignal.HangUp, () => log.info("a signal changes nothing", { signal: "SIGHUP" }));
    const start = new AbortController();
    void firstStop.then(() => start.abort());
    const listenLimitMs = settings.drainMs + LISTEN_MARGIN_MS;
    const node = await wireNode(settings, parts, { listenLimitMs, signal: start.signal }).catch(convertError);
    if ("kind" in node) {
        parts.dispose();
        return endFailedStart(node, log);
    }
    writeDumpOnSignal(signals, () => node.dumpState());
    log.info("node started", {
        callerPort: node.callerPort,
        operatorPort: node.operatorPort,
        nodeLinkPort: node.nodeLinkPort,
        version: process.env["REDWINGLIFT_VERSION"] ?? "development",
    });
    void node.whenReady.then(() => log.info("node ready", { revision: node.configuration.readCurrent().revision }));
    const signal = await firstStop;
    log.info("node leaving", { signal, drainMs: settings.drainMs });
    const cutRequests = await drainUntilSignal(node, settings.drainMs, secondStop);
    node.dispose();
    parts.dispose();
    log.info("node ended", { cutRequests });
    return cutRequests === 0 ? 0 : 1;
}

function convertError(error: unknown): Failure {
    return error instanceof FailureError
        ? error.failure
        : createFailure(FailureKind.Internal, error instanceof Error ? error.message : "unknown error");
}

/** Logs why the start ended; gives the exit code. */
function endFailedStart(failure: Failure, log: Log): number {
    if (failure.kind === FailureKind.ShuttingDown) {
        log.info("node ended", { cutRequests: 0 });
        return ExitCode.Ok;
    }
    const exitCode = chooseExitCode(failure);
    log.error("node failed", { reason: failure.message, exitCode });
    return exitCode;
}

function drainUntilSignal(node: RunningNode, boundMs: number, second: Promise<StopSignal>): Promise<number> {
    return new Promise((resolve, reject) => {
        let isEnding = false;
        node.drain(boundMs).then(cut => (isEnding ? undefined : resolve(cut)), reject);
        second
            .then(() => {
                isEnding = true;
                return node.end(END_MS);
            })
            .then(resolve, reject);
    });
}
