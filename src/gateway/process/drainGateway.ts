/**
 * @module The end of a gateway after a signal.
 */
import type { LogFields } from "../../base/log/log";
import { computeStopTimes } from "../../decisions/gateway/computeStopTimes";
import type { CallerCounts } from "../callers/callerCounts";
import type { GatewayListener } from "../callers/createGatewayListener";
import type { GatewayComponents } from "../gatewayComponents";

const DRAIN_CHECK_PERIOD_MS = 20;
/** Time between two log lines that show how far the drain has got. */
const LOG_PERIOD_MS = 1_000;

/**
 * Waits until the open requests are finished and all connections are closed, or the grace time is over. Idle
 * connections stay open until no request is open, so that a request on one of them gets an answer.
 *
 * @param components - The clock, the settings, and a log without a limit of lines
 * @param listener - The listener for callers
 * @param signal - Name of the signal, for the log
 * @returns The exit code: 1 if requests were cut off
 * @example
 * process.exitCode = await drainGateway(components, listener, "SIGTERM");
 */
export async function drainGateway(
    components: Pick<GatewayComponents, "clock" | "log" | "settings">,
    listener: GatewayListener,
    signal: string,
): Promise<number> {
    const { clock, log, settings } = components;
    const leavingAtMs = clock.readMonotonicMs();
    const computeDrainingMs = () => clock.readMonotonicMs() - leavingAtMs;
    const { ends: endsBefore } = listener.countCallers();
    const describeProgress = () => describeCounts(listener.countCallers(), endsBefore);
    log.info("gateway leaves", { signal, open: listener.countOpen(), ...describeProgress() });
    const times = computeStopTimes(settings.bounds.graceMs);
    listener.beginDrain(times);
    let nextLogMs = LOG_PERIOD_MS;
    while (computeDrainingMs() < times.endsProcessMs) {
        await new Promise(resolve => setTimeout(resolve, DRAIN_CHECK_PERIOD_MS));
        if (computeDrainingMs() >= nextLogMs) {
            nextLogMs += LOG_PERIOD_MS;
            log.info("gateway drains", { drainMs: Math.round(computeDrainingMs()), ...describeProgress() });
        }
        if (computeDrainingMs() >= times.endsRequestsMs) {
            listener.endRequests();
        }
        const areRequestsEnded = listener.countOpen() === 0 || computeDrainingMs() >= times.endsRequestsMs;
        if (computeDrainingMs() > times.acceptsMs && areRequestsEnded) {
            listener.closeIdle();
            if (listener.countCallers().connections === 0) {
                break;
            }
        }
    }
    const cut = listener.countOpen();
    listener.abandonRequests();
    // Sockets close in the next turns of the event loop.
    await new Promise(resolve => setTimeout(resolve, DRAIN_CHECK_PERIOD_MS));
    log.info("gateway ended", {
        cut,
        drainMs: Math.round(computeDrainingMs()),
        ...describeProgress(),
    });
    return cut === 0 ? 0 : 1;
}

/** Gives the numbers as fields of a log line; the ended requests are those since the signal. */
function describeCounts({ phases, ends, ...connections }: CallerCounts, endsBefore: CallerCounts["ends"]): LogFields {
    const before: Readonly<Record<string, number>> = endsBefore;
    return {
        ...connections,
        ...withPrefix("open", Object.entries(phases)),
        ...withPrefix(
            "ended",
            Object.entries(ends).map(([end, count]) => [end, count - (before[end] ?? 0)]),
        ),
    };
}

function withPrefix(prefix: string, entries: readonly (readonly [string, number])[]): LogFields {
    return Object.fromEntries(
        entries.map(([name, count]) => [`${prefix}${name.charAt(0).toUpperCase()}${name.slice(1)}`, count]),
    );
}
