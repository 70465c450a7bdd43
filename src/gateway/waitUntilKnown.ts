/**
 * @module The wait of a node that has just started for what it has to know before it can forward.
 */
import type { GatewayParts } from "./gatewayParts";

const STEP_MS = 10;

/**
 * Waits until the configuration and the endpoints are known, so that the first requests after a start aren't refused.
 *
 * @param parts - The configuration, the directory and the clock
 * @param limitMs - Longest wait in milliseconds
 * @returns When both are known, or after the limit
 * @example
 * await waitUntilKnown(parts, 400);
 */
export async function waitUntilKnown(
    { configuration, directory, clock }: Pick<GatewayParts, "configuration" | "directory" | "clock">,
    limitMs: number,
): Promise<void> {
    const untilMs = clock.readMonotonicMs() + limitMs;
    const isKnown = () => configuration.readCurrent() !== undefined && directory.isKnown();
    while (!isKnown() && clock.readMonotonicMs() < untilMs) {
        await clock.waitMs(STEP_MS);
    }
}
