/**
 * @module Merges what several nodes know of the limits that endpoints name, and chooses the nodes that may send to them.
 */
import { hashText } from "../../base/hashText";
import type { LimitReport, LimitReports } from "./news";

/** Most endpoints that are named in news, those with the newest answers. */
const LIMITS_MAX = 64;
/** Most senders of one endpoint. */
const SENDERS_MAX = 16;

/**
 * Counts the nodes that may send to an endpoint: each may have saved some requests up, so that their number adds to what
 * arrives in a short time.
 *
 * @param perSecond - The limit
 * @returns The number, at least 1
 * @example
 * countSenders(1.3); //=> 2
 */
export function countSenders(perSecond: number): number {
    return Math.min(SENDERS_MAX, 1 + Math.round(perSecond));
}

/**
 * Merges reports of distinct nodes or groups of nodes, or of the same ones. The newest answer of an endpoint decides on
 * its limit; among the nodes that want to send, all choose the same ones, by rendezvous hashing.
 *
 * @param list - The reports
 * @returns The merged reports
 * @example
 * mergeLimits([reports.a.limits, reports.b.limits])["i-1"]?.senders;
 */
export function mergeLimits(list: readonly LimitReports[]): LimitReports {
    const merged = new Map<string, LimitReport>();
    for (const [key, report] of list.flatMap(reports => Object.entries(reports))) {
        const known = merged.get(key);
        const newest = known !== undefined && known.atMs >= report.atMs ? known : report;
        merged.set(key, { ...newest, senders: [...(known?.senders ?? []), ...report.senders] });
    }
    const newestFirst = [...merged].sort(([, left], [, right]) => right.atMs - left.atMs).slice(0, LIMITS_MAX);
    return Object.fromEntries(newestFirst.map(([key, report]) => [key, chooseSenders(key, report)]));
}

function chooseSenders(key: string, { perSecond, atMs, senders }: LimitReport): LimitReport {
    const ranked = [...new Set(senders)]
        .map(node => ({ node, rank: hashText(`${key}|${node}`) }))
        .sort((left, right) => right.rank - left.rank || (left.node < right.node ? -1 : 1));
    const count = perSecond === undefined ? 0 : countSenders(perSecond);
    return { perSecond, atMs, senders: ranked.slice(0, count).map(({ node }) => node) };
}
