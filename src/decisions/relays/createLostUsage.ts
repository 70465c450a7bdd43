/**
 * @module Remembers the usage of nodes that were killed together with the relays that knew it.
 *
 * The relays of a failure domain know the usage of each of its nodes; all others know only the sum. If new relays take
 * over that never heard the dead nodes, the sum drops. The difference is kept until it has left the quota window.
 */

/** Usage by account. */
export type UsageByAccount = Readonly<Record<string, number>>;

/** Time after which a new relay has heard all live nodes of its failure domain, unless it hears of further ones. */
const SETTLE_MS = 1_000;

/** The lost usage of all failure domains. */
export interface LostUsage {
    /** Records that new relays sum a failure domain, and what the former ones last said. */
    recordTakeover(failureDomain: string, former: FormerUsage, nowMs: number): void;
    /** Gives the lost usage; `readPresent` gives what is known of a failure domain now. */
    sumLost(readPresent: (failureDomain: string) => PresentUsage, nowMs: number): UsageByAccount;
}

/** What the former relays of a failure domain last said. */
export interface FormerUsage {
    readonly used: UsageByAccount;
    readonly heardAtMs: number;
}

/** What is known of a failure domain now. */
export interface PresentUsage {
    readonly used: UsageByAccount;
    /** Nodes whose usage that is. */
    readonly reachable: number;
}

interface Takeover extends FormerUsage {
    readonly failureDomain: string;
    settledAtMs: number;
    /** Most nodes that were reachable since. */
    reachableMax: number;
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
                { ...former, failureDomain, settledAtMs: nowMs + SETTLE_MS, reachableMax: 0, missing: undefined },
            ];
        },
        sumLost: (readPresent, nowMs) => {
            takeovers = takeovers.filter(({ heardAtMs }) => nowMs - heardAtMs < quotaWindowMs);
            const lost: Record<string, number> = {};
            for (const takeover of takeovers) {
                const { used, reachable } = readPresent(takeover.failureDomain);
                if (reachable > takeover.reachableMax) {
                    // What these nodes have used was taken for lost until now.
                    takeover.reachableMax = reachable;
                    takeover.missing = undefined;
                    takeover.settledAtMs = Math.max(takeover.settledAtMs, nowMs + SETTLE_MS);
                }
                const missing = takeover.missing ?? computeMissing(takeover.used, used);
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

function computeMissing(former: UsageByAccount, present: UsageByAccount): UsageByAccount {
    const missing = Object.entries(former).map(([account, used]) => [account, used - (present[account] ?? 0)] as const);
    return Object.fromEntries(missing.filter(([, amount]) => amount > 0));
}
