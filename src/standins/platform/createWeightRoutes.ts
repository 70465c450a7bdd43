/**
 * @module The rate-limited weight store of the platform stand-in.
 */
import type { Clock } from "../../base/clock";
import type { StandinRoute } from "../_lib/standinCall";
import { HttpStatus } from "../../adapters/_lib/httpStatus";

/** Size and speed of the weight store. */
export interface WeightOptions {
    readonly clock: Clock;
    readonly bytes: number;
    readonly bytesPerSecond: number;
}

/**
 * Creates the weight store's route, `GET /weights/{name}`. Its answer comes when the weights would have been read;
 * readers share one rate, so each waits for those before it.
 *
 * @param options - Size and speed
 * @returns The route
 * @example
 * createWeightRoutes({ clock, bytes: 8_000_000_000, bytesPerSecond: 16_000_000_000 });
 */
export function createWeightRoutes(options: WeightOptions): readonly StandinRoute[] {
    const { clock } = options;
    let busyUntilMs = 0;
    return [
        {
            method: "GET",
            path: "/weights/",
            handle: async () => {
                const nowMs = clock.readMonotonicMs();
                busyUntilMs = Math.max(nowMs, busyUntilMs) + (options.bytes * 1000) / options.bytesPerSecond;
                await clock.waitMs(busyUntilMs - nowMs);
                return { status: HttpStatus.Ok, body: { bytes: options.bytes } };
            },
        },
    ];
}
