/**
 * @module Account quotas, enforced over all nodes together.
 *
 * Each node knows, with some delay, what all nodes together have charged and were asked for. While an account asks for
 * more than it may use, all nodes together grant it at the rate at which its usage leaves the window, corrected slowly
 * towards a target between the quota and the bound; each node admits the same share of what it is asked for, so that an
 * account gets its quota at those nodes that it sends to. What can't have been reported yet is estimated, and nothing is
 * granted beyond the bound by that estimate. A group of nodes that receive each other's reports may use a share of the
 * limit in proportion to its size, so that groups on both sides of a network partition stay within the limit together.
 */
import type { Random } from "../../base/random";
import type { GatewayAccount } from "../../model/gateway";
import { NEWS_DELAY_MAX_MS, RECENT_USAGE_MS } from "../relays/constants";
import type { FleetView, UsageSums } from "../relays/news";
import { admitShare, type ShareCredit } from "./admitShare";
import { computeLeftUsage, type FormerUsage, isMostlyUsed } from "./computeLeftUsage";
import { computeQuotaLimits, type QuotaPolicy } from "./computeQuotaLimits";
import { decideFormerCharge } from "./decideFormerCharge";
import { createUsageHistory, type UsageHistory } from "./usageHistory";
import { createSlidingWindowCounter, type SlidingWindowCounter } from "./slidingWindowCounter";

export type { QuotaPolicy } from "./computeQuotaLimits";

/** What a node knows of all nodes, itself included. */
export interface FleetUsage extends Omit<FleetView, "loads" | "endpoints" | "suspects" | "rollouts" | "limits"> {
    /** True if the unreachable nodes leave this node and its reachable peers a share of each limit. */
    readonly isCounted: boolean;
}

/** Enforces the quotas of all accounts at one node. */
export interface AccountQuotas {
    /** Charges `amount` if the quota of the account allows it; returns false, and charges nothing, if not. */
    charge(account: GatewayAccount, amount: number, fleet: FleetUsage, nowMs: number): boolean;
    /** Estimates when the account's request that was just refused may be admitted; `undefined` if unknown or late. */
    estimateRetryMs(account: string): number | undefined;
    /** Refunds the amount that was charged for a request that was not executed. */
    refund(account: string, amount: number, nowMs: number): void;
    /** Takes the recorded usage of all nodes before a restart: what has left the window of it may be charged. */
    recordFormerUsage(former: FormerUsage): void;
    /** Gives the usage at this node, for its reports to the other nodes; `fleet` shows whether theirs arrive here. */
    describeUsage(nowMs: number, fleet?: FleetUsage): Pick<FleetView, "usage" | "countsForMs">;
}

/**
 * Creates the quotas of all accounts.
 *
 * @param policy - The window and the tolerance
 * @param startedAtMs - Start of this process, if other nodes may have charged usage before it: the limits then grow
 * from near zero during the first window, unless a reachable node has been counting for longer. `undefined` at the
 * first start of the whole system
 * @param random - Decides at which of its requests a node begins with the admitted share
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
    /** When this node was last without the others' reports, and its share of the quotas then. */
    let isolated = { atMs: Number.NEGATIVE_INFINITY, share: 0 };
    let former: FormerUsage | undefined;
    /** Since when this node has received the others' reports. */
    let inTouchSinceMs: number | undefined;
    const readState = (account: string): AccountState => {
        const state = states.get(account) ?? {
            own: createSlidingWindowCounter(windowMs),
            unreported: createSlidingWindowCounter(NEWS_DELAY_MAX_MS),
            recent: createSlidingWindowCounter(RECENT_USAGE_MS),
            asked: createSlidingWindowCounter(RECENT_USAGE_MS),
            askedBefore: createSlidingWindowCounter(windowMs),
            history: createUsageHistory(windowMs),
            credit: undefined,
            requestSize: undefined,
            formerCredit: { credit: undefined },
            firstPart: undefined,
            retryMs: undefined,
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
        const { quota, target, limit } = computeQuotaLimits(account, policy);
        const state = readState(account.name);
        const sums = readSums(state, fleet.usage[account.name], amount, nowMs);
        const countsForMs = Math.max(computeUptimeMs(nowMs), fleet.countsForMs);
        const rampUpShare = computeRampUpShare(countsForMs, windowMs);
        const reachableShare = computeReachableShare(fleet);
        const known = sumKnown(sums, account.name, fleet);
        const unused = Math.min(limit * rampUpShare - known, limit * reachableShare - sums.used);
        if (fleet.nodes > 1 && fleet.reachable <= 1) {
            isolated = { atMs: nowMs, share: reachableShare };
        }
        if (nowMs - isolated.atMs < NEWS_DELAY_MAX_MS) {
            // Its own usage is known without delay. What the others know of a node without reports may be too low, and
            // the first views after a partition may leave nodes out, so a node also keeps to its share just after it.
            const unreported = sums.used > state.own.sum(nowMs) ? state.unreported.sum(nowMs) : 0;
            return Math.min(unused, quota * isolated.share - state.own.sum(nowMs)) - unreported >= amount;
        }
        state.requestSize = estimateRequestSize(state.requestSize, amount);
        state.history.recordSample(sums.used, sums.recent, nowMs);
        const noise = Math.sqrt((limit * NEWS_DELAY_MAX_MS * state.requestSize) / windowMs);
        const ownTarget = Math.min(target, limit - noise) * Math.min(reachableShare, rampUpShare);
        const leavingRate = Math.min(
            estimateLeavingRate(sums, state.history, (state.requestSize * windowMs) / limit, { windowMs, nowMs }),
            (LEAVING_RATE_MAX * ownTarget) / windowMs,
        );
        const growth = estimateGrowth(sums, state, { amount, reachable: fleet.reachable, windowMs, nowMs });
        const isOverAsked = sums.asked > OVER_ASKED_RATIO * sums.recent + OVER_ASKED_REQUESTS * amount;
        const unreported = estimateUnreported(sums, state, { growth, isOverAsked, nowMs });
        const margin = fleet.nodes > 1 ? NOISE_SHARE * noise : 0;
        const remaining = unused + leavingRate * NEWS_DELAY_MAX_MS - unreported - margin;
        // Other nodes may admit requests of this size at the same time if they have done so recently.
        const isShared = (fleet.usage[account.name]?.recent ?? 0) > state.recent.sum(nowMs);
        const reserved = isShared ? Math.min(REMAINING_REQUESTS * amount, Math.max(amount, limit / 2)) : amount;
        if (remaining < reserved) {
            return false;
        }
        const grantedRate = remaining / HAND_OUT_MS + leavingRate;
        if (!isOverAsked) {
            return admitShare(state, amount, (grantedRate * RECENT_USAGE_MS) / (growth * sums.asked), random);
        }
        const used = known + ((growth * sums.recent) / RECENT_USAGE_MS - leavingRate) * NEWS_DELAY_USUAL_MS;
        const pacedRate = Math.min(
            leavingRate + (ownTarget - used) / CORRECTION_MS,
            (PACED_RATE_MAX * ownTarget) / windowMs,
        );
        const rate = Math.max(0, Math.min(pacedRate, grantedRate));
        return admitShare(state, amount, (rate * RECENT_USAGE_MS) / sums.asked, random);
    };
    const recordContact = ({ nodes, reachable }: FleetUsage, nowMs: number) => {
        inTouchSinceMs = nodes > 1 && reachable <= 1 ? undefined : (inTouchSinceMs ?? nowMs);
    };
    // Just after a restart of all nodes, usage before it that has left the window may be used as well, and nothing else by an
    // account that had used most of its quota.
    const isQuotaLeft = (account: GatewayAccount, amount: number, fleet: FleetUsage, nowMs: number): boolean => {
        const hasLeft = hasQuotaLeft(account, amount, fleet, nowMs);
        const state = readState(account.name);
        const countsForMs = Math.max(computeUptimeMs(nowMs), fleet.countsForMs);
        state.retryMs = undefined;
        if (countsForMs >= windowMs) {
            return hasLeft;
        }
        const sums = readSums(state, fleet.usage[account.name], amount, nowMs);
        if (former === undefined) {
            state.retryMs = estimateRampUpRetryMs(sums, amount, state.asked.sum(nowMs), fleet.isCounted);
            return hasLeft;
        }
        const times = { account: account.name, windowMs, countsForMs, nowMs };
        const { limit } = computeQuotaLimits(account, policy);
        if (hasLeft && !isMostlyUsed(former, { ...times, limit })) {
            return true;
        }
        state.firstPart ??= random.drawFraction();
        const { admittedShare, retryMs } = decideFormerCharge({
            left: computeLeftUsage(former, times),
            ...fleet,
            ...times,
            limit,
            amount,
            inTouchMs: inTouchSinceMs === undefined ? 0 : nowMs - inTouchSinceMs,
            reachableShare: computeReachableShare(fleet),
            own: state.own.sum(nowMs),
            ownUnreported: state.unreported.sum(nowMs),
            firstPart: state.firstPart,
            known: sumKnown(sums, account.name, fleet),
            ownAsked: state.asked.sum(nowMs),
            asked: sums.asked,
            recentRate: state.history.sumUsage(nowMs - PACED_AVERAGE_MS, nowMs) / PACED_AVERAGE_MS,
        });
        state.retryMs = retryMs;
        return admittedShare > 0 && admitShare(state.formerCredit, amount, admittedShare, random);
    };
    return {
        recordFormerUsage: usage => {
            former = usage;
        },
        charge: (account, amount, fleet, nowMs) => {
            const { asked, askedBefore } = readState(account.name);
            [asked, askedBefore].forEach(counter => counter.add(amount, nowMs));
            recordContact(fleet, nowMs);
            if (account.quotaPerSecond > 0 && !isQuotaLeft(account, amount, fleet, nowMs)) {
                return false;
            }
            charge(account.name, amount, nowMs);
            return true;
        },
        estimateRetryMs: account => {
            const retryMs = states.get(account)?.retryMs;
            return retryMs === undefined || !(retryMs < RETRY_MS.most) ? undefined : Math.max(RETRY_MS.least, retryMs);
        },
        refund: (account, amount, nowMs) => {
            charge(account, -amount, nowMs);
            readState(account).asked.add(-amount, nowMs);
        },
        describeUsage: (nowMs, fleet) => {
            if (fleet !== undefined) {
                recordContact(fleet, nowMs);
            }
            return {
                usage: Object.fromEntries([...states].map(([name, state]) => [name, readOwnSums(state, nowMs)])),
                countsForMs: Math.min(windowMs, computeUptimeMs(nowMs)),
            };
        },
    };
}

/** Usage of one account at this node. */
interface AccountState extends ShareCredit {
    /** Charged in the current quota window. */
    readonly own: SlidingWindowCounter;
    /** Charged so recently that the other nodes may not have received the report. */
    readonly unreported: SlidingWindowCounter;
    /** Charged and asked for within the time that reports call recent. */
    readonly recent: SlidingWindowCounter;
    readonly asked: SlidingWindowCounter;
    /** Asked for in the current quota window. */
    readonly askedBefore: SlidingWindowCounter;
    /** Charged by all nodes. */
    readonly history: UsageHistory;
    /** Mean size of the requests, weighted by size. */
    requestSize: number | undefined;
    /** The same as `credit`, for what has left the window of the usage before a restart. */
    readonly formerCredit: ShareCredit;
    /** Random part of a request that must be left of an equal part of the quota. */
    firstPart: number | undefined;
    /** Time after which the last refused request may be admitted, where that is known. */
    retryMs: number | undefined;
}

/** Head start of the ramp-up, without which the first requests after a restart of all nodes would be refused. */
const RAMP_UP_HEAD_START_MS = 400;
/** Length of the ramp-up to the full limit, in windows. Above 1, since usage before the start may have been uneven. */
const RAMP_UP_WINDOWS = 1.25;
/** Time over which the remaining amount is handed out; the reports' longest delay, or usage would swing. */
const HAND_OUT_MS = NEWS_DELAY_MAX_MS;
/** Time over which a paced account is brought to its target; well above the delay of the reports, or it would swing. */
const CORRECTION_MS = 1_500;
/** Mean time until a report has reached the other nodes: half of the periods on the way. */
const NEWS_DELAY_USUAL_MS = 400;
/** An account is paced while it asks for more than this multiple of its recent usage, and some requests in addition. */
const OVER_ASKED_RATIO = 1.1;
const OVER_ASKED_REQUESTS = 2;
/** Highest rate of a paced account, as a multiple of the steady one; so the burst at its begin isn't repeated in full. */
const PACED_RATE_MAX = 1.5;
/** A shorter time until a retry is of no use, and a longer one is not estimated. */
const RETRY_MS = { least: 100, most: 1_000 };
/** Highest rate at which usage is taken to leave the window, as a multiple of the steady one; its time isn't exact. */
const LEAVING_RATE_MAX = 1.25;
/** The history's rates count as much more as the usage exceeds them, up to this; samples may be missing. */
const HISTORY_SCALE_MAX = 1.5;
/** Number of requests that the leaving rate is averaged over, and the bounds of the time for it. */
const LEAVING_REQUESTS = 8;
const LEAVING_SPAN_MS = { least: 400, most: 2_000 };
/** By how much earlier and later the leaving usage may have been charged, at least. */
const LEAVING_UNCERTAINTY_MS = 250;
/** Half of a slice of the counters, which drop usage by whole slices. */
const COUNTER_DELAY_MS = 130;
/** Time over which the unreported usage of a paced account is averaged. */
const PACED_AVERAGE_MS = 1_000;
/** Recent share of the usage up to which it counts as paced. */
const PACED_RECENT_SHARE = 0.15;
/** How much more the recent usage may have grown if all usage is recent: it then began within the recent time. */
const YOUNG_FACTOR = 1.5;
/** Remaining amount, in requests of this size, without which several nodes admit none: others may admit one each. */
const REMAINING_REQUESTS = 3;
/** Share of the noise of unreported usage, which grows with the size of the requests, that several nodes keep free. */
const NOISE_SHARE = 0.5;
/** Weight of a request in the mean size. */
const SIZE_WEIGHT = 0.1;

/** Number of requests of the present size that the estimate of growth assumes in addition to the received ones. */
const GROWTH_PRIOR_REQUESTS = 1;

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

/** Estimates when a request that is refused during the ramp-up may be admitted, with the others that come back as well. */
function estimateRampUpRetryMs(
    { recent, asked }: UsageSums,
    amount: number,
    ownAsked: number,
    isCounted: boolean,
): number {
    const admittedShare = Math.min(1, recent / asked);
    return isCounted ? (amount * RECENT_USAGE_MS) / (ownAsked * admittedShare ** 2) : NEWS_DELAY_USUAL_MS;
}

/** Sums what is known to be charged by all nodes, dead ones included. */
function sumKnown({ used }: UsageSums, account: string, { silentUsage, lostUsage }: FleetUsage): number {
    return used + (silentUsage[account] ?? 0) + (lostUsage[account] ?? 0);
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
    const received = Math.max(0, asked.sum(nowMs) - amount);
    // Less one standard deviation, or the chance arrival of a few requests would count as growth.
    return Math.max(1, (received - Math.sqrt(received * amount) + prior) / (usual + prior));
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
    { used, recent }: UsageSums,
    { unreported, history }: AccountState,
    { growth, isOverAsked, nowMs }: { readonly growth: number; readonly isOverAsked: boolean; readonly nowMs: number },
): number {
    const isPaced = isOverAsked && recent < PACED_RECENT_SHARE * used;
    const rate = isPaced
        ? history.sumUsage(nowMs - PACED_AVERAGE_MS, nowMs) / PACED_AVERAGE_MS
        : ((1 + (YOUNG_FACTOR * recent) / Math.max(1, used)) * recent) / RECENT_USAGE_MS;
    return Math.max(unreported.sum(nowMs), growth * rate * NEWS_DELAY_MAX_MS);
}

/**
 * Estimates the rate at which usage leaves the window now. Since the time at which it was charged is known only
 * roughly, the lowest of three neighbouring rates counts.
 */
function estimateLeavingRate(
    { used }: UsageSums,
    history: UsageHistory,
    requestMs: number,
    { windowMs, nowMs }: Pick<GrowthInput, "windowMs" | "nowMs">,
): number {
    const { least, most } = LEAVING_SPAN_MS;
    const spanMs = Math.min(most, Math.max(least, LEAVING_REQUESTS * requestMs));
    const uncertaintyMs = Math.max(LEAVING_UNCERTAINTY_MS, spanMs / 2);
    // A sample is the mean of the recent time, and as late as its report.
    const sampledMs = nowMs - windowMs - COUNTER_DELAY_MS + NEWS_DELAY_USUAL_MS / 2 + RECENT_USAGE_MS / 2;
    const sums = [0, uncertaintyMs, -uncertaintyMs].map(offsetMs =>
        history.sumUsage(sampledMs + offsetMs - spanMs / 2, sampledMs + offsetMs + spanMs / 2),
    );
    const scale = used / Math.max(1, history.sumUsage(nowMs - windowMs, nowMs));
    return (Math.min(HISTORY_SCALE_MAX, scale) * Math.min(...sums)) / spanMs;
}

/** Estimates the mean size of the requests, each weighted by its size, from the former mean and a request. */
function estimateRequestSize(mean: number | undefined, amount: number): number {
    if (mean === undefined || mean <= 0) {
        return amount;
    }
    const weight = (SIZE_WEIGHT * amount) / mean;
    return mean + (weight * (amount - mean)) / (1 + weight);
}

/** Computes the share of the limit that is granted while the usage charged before the start is unknown. */
function computeRampUpShare(countsForMs: number, windowMs: number): number {
    return countsForMs >= windowMs ? 1 : (countsForMs + RAMP_UP_HEAD_START_MS) / (RAMP_UP_WINDOWS * windowMs);
}

/** Computes the share of the limit that this node and the nodes reachable from it may use together. */
function computeReachableShare({ nodes, reachable, isCounted }: FleetUsage): number {
    return isCounted ? Math.min(1, reachable / Math.max(1, nodes)) : 0;
}
