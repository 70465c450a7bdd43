/**
 * @module The wait of a node that has just started for what it has to load before it can forward requests.
 */
import type { GatewayComponents } from "../gatewayComponents";

const CHECK_PERIOD_MS = 10;

/**
 * Waits until the configuration, the endpoints and the other nodes are known, so that the first requests after a start
 * aren't refused.
 *
 * @param components - What has to be known, and the clock
 * @param limitMs - Longest wait in milliseconds
 * @returns When all are known, or after the limit
 * @example
 * await waitUntilLoaded(components, 400);
 */
export async function waitUntilLoaded(
    {
        configuration,
        directory,
        news,
        clock,
    }: Pick<GatewayComponents, "configuration" | "directory" | "news" | "clock">,
    limitMs: number,
): Promise<void> {
    const untilMs = clock.readMonotonicMs() + limitMs;
    const isLoaded = () => configuration.readCurrent() !== undefined && directory.isLoaded() && news.isLoaded();
    while (!isLoaded() && clock.readMonotonicMs() < untilMs) {
        await clock.waitMs(CHECK_PERIOD_MS);
    }
}
