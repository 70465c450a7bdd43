/**
 * @module Reads instants that people write.
 */
import { parseDuration } from "./readOption";

const ISO_INSTANT = /^\d{4}-\d\d-\d\dT\d\d:\d\d(:\d\d(\.\d{1,3})?)?(Z|[+-]\d\d:\d\d)$/;

/**
 * Parses an instant: ISO 8601 with its time zone, or a time from now.
 *
 * @param text - For example `2027-01-31T18:00:00Z` or `+45m`
 * @param nowWallMs - Epoch milliseconds now
 * @returns Epoch milliseconds, or `undefined`
 * @example
 * parseInstant("+2h", clock.readWallMs());
 */
export function parseInstant(text: string, nowWallMs: number): number | undefined {
    if (text.startsWith("+")) {
        const duration = parseDuration(text.slice(1));
        return duration === undefined ? undefined : nowWallMs + duration;
    }
    const instant = ISO_INSTANT.test(text) ? Date.parse(text) : Number.NaN;
    return Number.isNaN(instant) ? undefined : instant;
}
