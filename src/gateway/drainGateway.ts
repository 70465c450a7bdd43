/**
 * @module The end of a gateway after a signal.
 */
import type { GatewayListener } from "./createGatewayListener";
import type { GatewayComponents } from "./gatewayComponents";

/** After a signal, new connections may arrive until the load balancer has checked the readiness twice. */
const ACCEPT_AFTER_SIGNAL_MS = 3_500;
const DRAIN_CHECK_PERIOD_MS = 100;
/** Share of the grace time after which open requests are cut off. */
const GRACE_SHARE = 0.97;

/**
 * Waits until the open requests are finished or the grace time is over.
 *
 * @param components - The components of the gateway
 * @param listener - The listener for callers
 * @param signal - Name of the signal, for the log
 * @returns The exit code: 1 if requests were cut off
 * @example
 * process.exitCode = await drainGateway(components, listener, "SIGTERM");
 */
export async function drainGateway(
    components: GatewayComponents,
    listener: GatewayListener,
    signal: string,
): Promise<number> {
    const { clock, log, settings } = components;
    const leavingAtMs = clock.readMonotonicMs();
    const computeDrainingMs = () => clock.readMonotonicMs() - leavingAtMs;
    log.info("gateway leaves", { signal, open: listener.countOpen() });
    const stopAfterMs = settings.bounds.graceMs * GRACE_SHARE;
    listener.beginDrain(stopAfterMs);
    while (computeDrainingMs() < stopAfterMs) {
        await new Promise(resolve => setTimeout(resolve, DRAIN_CHECK_PERIOD_MS));
        if (computeDrainingMs() > ACCEPT_AFTER_SIGNAL_MS) {
            listener.closeIdle();
            if (listener.countOpen() === 0) {
                break;
            }
        }
    }
    log.info("gateway ended", { cut: listener.countOpen(), drainMs: Math.round(computeDrainingMs()) });
    return listener.countOpen() === 0 ? 0 : 1;
}
