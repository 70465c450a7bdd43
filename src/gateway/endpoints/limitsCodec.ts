/**
 * @module Encodes reports on the limits that endpoints name, as lists.
 */
import { z } from "zod";
import type { LimitReport, LimitReports } from "../../decisions/relays/news";

/** Most endpoints, and most senders of one, that are decoded. */
const ENTRIES_MAX = 64;
const SENDERS_MAX = 16;

const ENTRY = z.tuple([z.array(z.number().nonnegative()).max(1), z.number(), z.array(z.string()).max(SENDERS_MAX)]);
const ENTRIES = z.record(z.string(), z.unknown());

/** Reports as they are sent: the limit if there is one, the time and the senders. */
export type LimitLists = Record<string, z.input<typeof ENTRY>>;

/**
 * Encodes reports.
 *
 * @param reports - The reports
 * @returns Lists, by endpoint
 * @example
 * JSON.stringify(encodeLimits(view.limits));
 */
export function encodeLimits(reports: LimitReports): LimitLists {
    return Object.fromEntries(
        Object.entries(reports).map(([key, { perSecond, atMs, senders }]): [string, z.input<typeof ENTRY>] => [
            key,
            [perSecond === undefined ? [] : [perSecond], Math.round(atMs), [...senders]],
        ]),
    );
}

/**
 * Decodes reports. Those that are malformed or beyond the limits are left out.
 *
 * @param value - What was sent; anything
 * @returns The reports, by endpoint
 * @example
 * decodeLimits({ "i-1": [[1.3], 1_700_000, ["west-1"]] })["i-1"]?.perSecond; //=> 1.3
 */
export function decodeLimits(value: unknown): LimitReports {
    const entries = ENTRIES.safeParse(value);
    if (!entries.success) {
        return {};
    }
    return Object.fromEntries(
        Object.entries(entries.data)
            .slice(0, ENTRIES_MAX)
            .flatMap(([key, lists]): [string, LimitReport][] => {
                const entry = ENTRY.safeParse(lists);
                if (!entry.success) {
                    return [];
                }
                const [[perSecond], atMs, senders] = entry.data;
                return [[key, { perSecond, atMs, senders }]];
            }),
    );
}
