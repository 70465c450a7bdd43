/**
 * @module Remembers the usage of nodes that were killed together with the relays that knew it.
 *
 * The relays of a failure domain know the usage of each of its nodes; all others know only the sum. If new relays take
 * over that never heard the dead nodes, the sum drops. The difference is kept until it has left the quota window.
 */
import { sumAmounts } from "./sumNews";

/** Usage by account. */
export type UsageByAccount = Readonly<Record<string, number>>;

/** Time after which a new relay has heard all live nodes of its failure domain. */
const SETTLE_MS = 1_000;

/** Stands for all failure domains in a takeover; no failure domain has an empty name. */
export const WHOLE_FLEET = "";

/** The lost usage of all failure domains. */
export interface LostUsage {
    /** Records that new relays sum a failure domain, and what the former ones last said. */
    recordTakeover(failureDomain: string, former: FormerUsage, nowMs: number): void;
    /** Gives the lost usage; `present` is the present usage of each failure domain that is heard. */
    sumLost(present: ReadonlyMap<string, UsageByAccount>, nowMs: number): UsageByAccount;
}

/** What the former relays of a failure domain last said. */
export interface FormerUsage {
    readonly used: UsageByAccount;
    readonly heardAtMs: number;
}

interface Takeover extends FormerUsage {
    readonly failureDomain: string;
    readonly settledAtMs: number;
    /** The failure domains that were heard since. */
    readonly heard: Set<string>;
    /** What is missing since the new relays have heard all nodes; absent before. */
    missing: UsageByAccount | undefined;
}

/**
 * Creates a record without lost usage.
 *
 * @param quotaWindowMs - Length of a quota window
 * @returns The record
 * @example
 * lostUsage.recordTakeover("west", { used: { county: 400 }, heardAtMs }, nowMs);
 */
export function createLostUsage(quotaWindowMs: number): LostUsage {
    let takeovers: readonly Takeover[] = [];
    return {
        recordTakeover: (failureDomain, former, nowMs) => {
            takeovers = [
                ...takeovers,
                { ...former, failureDomain, settledAtMs: nowMs + SETTLE_MS, heard: new Set(), missing: undefined },
            ];
        },
        sumLost: (present, nowMs) => {
            takeovers = takeovers.filter(({ heardAtMs }) => nowMs - heardAtMs < quotaWindowMs);
            const lost: Record<string, number> = {};
            for (const takeover of takeovers) {
                const late = [...present].filter(([failureDomain]) => !takeover.heard.has(failureDomain));
                late.forEach(([failureDomain]) => takeover.heard.add(failureDomain));
                const isWholeFleet = takeover.failureDomain === WHOLE_FLEET;
                // What a failure domain has used was taken for lost until it was heard.
                const missing =
                    takeover.missing === undefined
                        ? computeMissing(takeover.used, readUsed(present, takeover.failureDomain))
                        : computeMissing(
                              takeover.missing,
                              isWholeFleet ? sumAmounts(late.map(([, used]) => used)) : {},
                          );
                if (nowMs >= takeover.settledAtMs) {
                    takeover.missing = missing;
                }
                for (const [account, amount] of Object.entries(missing)) {
                    lost[account] = (lost[account] ?? 0) + amount;
                }
            }
            return lost;
        },
    };
}

function readUsed(present: ReadonlyMap<string, UsageByAccount>, failureDomain: string): UsageByAccount {
    return failureDomain === WHOLE_FLEET ? sumAmounts([...present.values()]) : (present.get(failureDomain) ?? {});
}

function computeMissing(former: UsageByAccount, present: UsageByAccount): UsageByAccount {
    const missing = Object.entries(former).map(([account, used]) => [account, used - (present[account] ?? 0)] as const);
    return Object.fromEntries(missing.filter(([, amount]) => amount > 0));
}
