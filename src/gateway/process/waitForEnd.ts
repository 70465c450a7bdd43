/**
 * @module Waits until a gateway has to end.
 */
import type { Log } from "../../base/log/log";
import { chooseExitCode } from "../../cli/exitCode";
import type { GatewayListeners } from "./startListeners";

/** Why a gateway ends. */
export interface GatewayEnd {
    /** Name of the signal, or kind of the failure. */
    readonly reason: string;
    /** Exit code of a start that failed; absent after a signal. */
    readonly failedExitCode?: number;
}

/**
 * Waits for a signal, also while the listeners start, or for the failure of their start. Logs how the start ended.
 *
 * @param listeners - The listeners, which are starting
 * @param whenSignalled - Gives the name of the signal
 * @param log - A log without a limit of lines
 * @returns Why the gateway ends
 * @example
 * const { reason } = await waitForEnd(listeners, whenSignalled, log);
 */
export async function waitForEnd(
    listeners: Pick<GatewayListeners, "whenStarted">,
    whenSignalled: Promise<string>,
    log: Log,
): Promise<GatewayEnd> {
    const started = await Promise.race([listeners.whenStarted, whenSignalled.then(() => undefined)]);
    if (started?.isErr()) {
        const failedExitCode = chooseExitCode(started.error);
        log.error("gateway failed", { reason: started.error.message, exitCode: failedExitCode });
        return { reason: started.error.kind, failedExitCode };
    }
    if (started?.isOk()) {
        log.info("gateway listens", { startMs: Math.round(process.uptime() * 1_000) });
    }
    return { reason: await whenSignalled };
}
