/**
 * @module Account quotas, enforced over all nodes together.
 *
 * Each node knows, with some delay, what all nodes together have charged and were asked for. While an account asks for
 * more than it may still use, each node admits the same share of the requests, so that an account gets what it may use
 * at those nodes that it sends to. What can't have been reported yet is estimated. A group of nodes that receive each
 * other's reports may use a share of the limit in proportion to its size, so that groups on both sides of a network
 * partition stay within the limit together.
 */
import type { Random } from "../../base/random";
import type { GatewayAccount } from "../../model/gateway";
import { NEWS_DELAY_MAX_MS, RECENT_USAGE_MS } from "../relays/constants";
import type { FleetView, UsageSums } from "../relays/news";
import { createSlidingWindowCounter, type SlidingWindowCounter } from "./slidingWindowCounter";

/** The window of the quotas, and the tolerance by which all nodes together may exceed them. */
export interface QuotaPolicy {
    readonly quotaWindowMs: number;
    /** By how much a quota may be exceeded in a window: `quotaOverrun` as a share of it, plus `quotaSlack`. */
    readonly quotaOverrun: number;
    readonly quotaSlack: number;
}

/** What a node knows of all nodes, itself included. */
export interface FleetUsage extends Omit<FleetView, "loads" | "endpoints" | "suspects" | "rollouts" | "limits"> {
    /** True if the unreachable nodes leave this node and its reachable peers a share of each limit. */
    readonly isCounted: boolean;
}

/** Enforces the quotas of all accounts at one node. */
export interface AccountQuotas {
    /** Charges `amount` if the quota of the account allows it; returns false, and charges nothing, if not. */
    charge(account: GatewayAccount, amount: number, fleet: FleetUsage, nowMs: number): boolean;
    /** Refunds the amount that was charged for a request that was not executed. */
    refund(account: string, amount: number, nowMs: number): void;
    /** Gives the usage at this node, for its reports to the other nodes. */
    describeUsage(nowMs: number): Pick<FleetView, "usage" | "countsForMs">;
}

/**
 * Creates the quotas of all accounts.
 *
 * @param policy - The window and the tolerance
 * @param startedAtMs - Start of this process, if other nodes may have charged usage before it: the limits then grow
 * from near zero during the first window, unless a reachable node has been counting for longer. `undefined` at the
 * first start of the whole system
 * @param random - Decides which requests belong to the admitted share
 * @returns The quotas
 * @example
 * quotas.charge(account, 1_460, news.readUsage(), nowMs);
 */
export function createAccountQuotas(
    policy: QuotaPolicy,
    startedAtMs: number | undefined,
    random: Random,
): AccountQuotas {
    const windowMs = policy.quotaWindowMs;
    const states = new Map<string, AccountState>();
    const readState = (account: string): AccountState => {
        const state = states.get(account) ?? {
            own: createSlidingWindowCounter(windowMs),
            unreported: createSlidingWindowCounter(NEWS_DELAY_MAX_MS),
            recent: createSlidingWindowCounter(RECENT_USAGE_MS),
            asked: createSlidingWindowCounter(RECENT_USAGE_MS),
            askedBefore: createSlidingWindowCounter(windowMs),
        };
        states.set(account, state);
        return state;
    };
    const charge = (account: string, amount: number, nowMs: number) => {
        const { own, unreported, recent } = readState(account);
        [own, unreported, recent].forEach(counter => counter.add(amount, nowMs));
    };
    const computeUptimeMs = (nowMs: number) => (startedAtMs === undefined ? windowMs : nowMs - startedAtMs);
    const hasQuotaLeft = (account: GatewayAccount, amount: number, fleet: FleetUsage, nowMs: number): boolean => {
        const limit = computeLimit(account, policy, fleet.nodes);
        const state = readState(account.name);
        const sums = readSums(state, fleet.usage[account.name], amount, nowMs);
        const countsForMs = Math.max(computeUptimeMs(nowMs), fleet.countsForMs);
        const growth = estimateGrowth(sums, state, { amount, reachable: fleet.reachable, windowMs, nowMs });
        const known = sums.used + (fleet.silentUsage[account.name] ?? 0) + (fleet.lostUsage[account.name] ?? 0);
        const unused = Math.min(
            limit * computeRampUpShare(countsForMs, windowMs) - known,
            limit * computeReachableShare(fleet) - sums.used,
        );
        const expired = (EXPIRED_SHARE * sums.used * NEWS_DELAY_MAX_MS) / windowMs;
        const remaining = unused + expired - estimateUnreported(sums, state, growth, nowMs);
        return remaining >= amount && random.drawFraction() < computeAdmittedShare(remaining, sums, growth);
    };
    return {
        charge: (account, amount, fleet, nowMs) => {
            const { asked, askedBefore } = readState(account.name);
            [asked, askedBefore].forEach(counter => counter.add(amount, nowMs));
            if (account.quotaPerSecond > 0 && !hasQuotaLeft(account, amount, fleet, nowMs)) {
                return false;
            }
            charge(account.name, amount, nowMs);
            return true;
        },
        refund: (account, amount, nowMs) => {
            charge(account, -amount, nowMs);
            readState(account).asked.add(-amount, nowMs);
        },
        describeUsage: nowMs => ({
            usage: Object.fromEntries([...states].map(([name, state]) => [name, readOwnSums(state, nowMs)])),
            countsForMs: Math.min(windowMs, computeUptimeMs(nowMs)),
        }),
    };
}

/** Usage of one account at this node. */
interface AccountState {
    /** Charged in the current quota window. */
    readonly own: SlidingWindowCounter;
    /** Charged so recently that the other nodes may not have received the report. */
    readonly unreported: SlidingWindowCounter;
    /** Charged and asked for within the time that reports call recent. */
    readonly recent: SlidingWindowCounter;
    readonly asked: SlidingWindowCounter;
    /** Asked for in the current quota window. */
    readonly askedBefore: SlidingWindowCounter;
}

const MS_PER_S = 1_000;
/** Share of the limit that several nodes use, since the estimate of unreported usage misses some of it. */
const USABLE_SHARE = 0.915;
/** Head start of the ramp-up, without which the first requests after a restart of all nodes would be refused. */
const RAMP_UP_HEAD_START_MS = 400;
/** Length of the ramp-up to the full limit, in windows. Above 1, since usage before the start may have been uneven. */
const RAMP_UP_WINDOWS = 1.25;
/** Time over which the remaining amount is handed out; must exceed the delay of the reports, or usage would swing. */
const HAND_OUT_MS = 1_000;

/** Share of the mean usage that is assumed to have left the window since the reports; it may have been uneven. */
const EXPIRED_SHARE = 0.5;
/** Number of requests of the present size that the estimate of growth assumes in addition to the received ones. */
const GROWTH_PRIOR_REQUESTS = 1;

/** Computes what all nodes together may charge to an account in a window, including the usable part of the tolerance. */
function computeLimit(
    account: GatewayAccount,
    { quotaWindowMs, quotaOverrun, quotaSlack }: QuotaPolicy,
    nodes: number,
): number {
    const quota = (account.quotaPerSecond * quotaWindowMs) / MS_PER_S + account.quotaBurst;
    const slack = account.countsTokens ? quotaSlack : 0;
    return (quota * (1 + quotaOverrun) + slack) * (nodes > 1 ? USABLE_SHARE : 1);
}

function readOwnSums({ own, recent, asked }: AccountState, nowMs: number): UsageSums {
    return {
        used: Math.max(0, Math.round(own.sum(nowMs))),
        recent: Math.max(0, Math.round(recent.sum(nowMs))),
        asked: Math.max(0, Math.round(asked.sum(nowMs))),
    };
}

/**
 * Gives the reported sums over all nodes, or this node's own where they are greater: a report may be on its way. The
 * request of `amount` that is judged is left out of what was asked for.
 */
function readSums(state: AccountState, reported: UsageSums | undefined, amount: number, nowMs: number): UsageSums {
    const own = readOwnSums(state, nowMs);
    return {
        used: Math.max(own.used, reported?.used ?? 0),
        recent: Math.max(own.recent, reported?.recent ?? 0),
        asked: Math.max(own.asked - amount, reported?.asked ?? 0),
    };
}

/**
 * Estimates by what factor the requests of an account grew since the reports, from those that this node received most
 * recently and in the whole window. The usage of an average node, or of a few requests, is added to both, since few
 * requests say little.
 */
function estimateGrowth(
    sums: UsageSums,
    { asked, askedBefore }: AccountState,
    { amount, reachable, windowMs, nowMs }: GrowthInput,
): number {
    const prior = Math.max(sums.asked / Math.max(1, reachable), GROWTH_PRIOR_REQUESTS * amount);
    const usual = (askedBefore.sum(nowMs) * RECENT_USAGE_MS) / windowMs;
    return Math.max(1, (asked.sum(nowMs) - amount + prior) / (usual + prior));
}

/** The request that is judged, and where. */
interface GrowthInput {
    readonly amount: number;
    /** Nodes whose usage is reported. */
    readonly reachable: number;
    readonly windowMs: number;
    readonly nowMs: number;
}

/** Estimates what all nodes have charged and not reported yet. */
function estimateUnreported(
    { recent }: UsageSums,
    { unreported }: AccountState,
    growth: number,
    nowMs: number,
): number {
    return Math.max(unreported.sum(nowMs), (growth * recent * NEWS_DELAY_MAX_MS) / RECENT_USAGE_MS);
}

/** Computes the share of the requests by which the remaining amount is handed out evenly; 1 while it suffices. */
function computeAdmittedShare(remaining: number, { asked }: UsageSums, growth: number): number {
    const expected = (growth * asked * HAND_OUT_MS) / RECENT_USAGE_MS;
    return expected <= remaining ? 1 : remaining / expected;
}

/** Computes the share of the limit that is granted while the usage charged before the start is unknown. */
function computeRampUpShare(countsForMs: number, windowMs: number): number {
    return countsForMs >= windowMs ? 1 : (countsForMs + RAMP_UP_HEAD_START_MS) / (RAMP_UP_WINDOWS * windowMs);
}

/** Computes the share of the limit that this node and the nodes reachable from it may use together. */
function computeReachableShare({ nodes, reachable, isCounted }: FleetUsage): number {
    return isCounted ? Math.min(1, reachable / Math.max(1, nodes)) : 0;
}
