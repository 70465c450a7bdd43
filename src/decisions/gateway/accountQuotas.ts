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
import { NEWS_DELAY_MAX_MS, NEWS_DELAY_USUAL_MS, RECENT_USAGE_MS } from "../relays/constants";
import type { FleetView, UsageSums } from "../relays/news";
import { type AccountState, buildAccountStateCopy, createAccountState } from "./accountState";
import { admitShare } from "./admitShare";
import { computeLeftUsage, type FormerUsage, isMostlyUsed } from "./computeLeftUsage";
import { computeQuotaLimits, type QuotaPolicy } from "./computeQuotaLimits";
import { decideFormerCharge } from "./decideFormerCharge";
import { estimateGrowth } from "./estimateGrowth";
import { estimateLeavingRate } from "./estimateLeavingRate";

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
    /** Explains what `charge` would decide now, and changes nothing. */
    explainCharge(account: GatewayAccount, amount: number, fleet: FleetUsage, nowMs: number): ChargeExplanation;
    /**
     * Refunds the amount that was charged for a request that was not executed. It is taken off at the time of the charge:
     * the refund of a request that waited would otherwise stay in the window after its charge has left it, and more than
     * the quota would be granted. It doesn't count as asked for either, so a retry is judged as a new request.
     */
    refund(account: string, amount: number, chargedAtMs: number): void;
    /** Estimates when the account's request that was just refused may be admitted; `undefined` if unknown or late. */
    estimateRetryMs(account: string): number | undefined;
    /** Takes the recorded usage of all nodes before a restart: what has left the window of it may be charged. */
    recordFormerUsage(former: FormerUsage): void;
    /** Gives the usage at this node, for its reports to the other nodes; `fleet` shows whether theirs arrive here. */
    describeUsage(nowMs: number, fleet?: FleetUsage): Pick<FleetView, "usage" | "countsForMs">;
}

/** What a charge depends on, and whether it is made. */
export interface ChargeExplanation {
    /** True if the request is admitted, or may be. */
    readonly isAdmitted: boolean;
    /** True if chance decides: it is the account's first request of which only a share is admitted. */
    readonly isByChance: boolean;
    readonly quota: number;
    /** What all nodes together admit in a window at most: the bound less 1.5%. */
    readonly limit: number;
    /** What all nodes have charged in the present window, as far as this node knows. */
    readonly used: number;
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
        const state = states.get(account) ?? createAccountState(windowMs);
        states.set(account, state);
        return state;
    };
    const charge = (account: string, amount: number, nowMs: number) => {
        const { own, unreported, recent } = readState(account);
        [own, unreported, recent].forEach(counter => counter.add(amount, nowMs));
    };
    const computeUptimeMs = (nowMs: number) => (startedAtMs === undefined ? windowMs : nowMs - startedAtMs);
    const admitByQuota = (
        state: AccountState,
        { account, amount, fleet, nowMs }: ChargeRequest,
        creditRandom: Random,
    ): boolean => {
        const { quota, target, limit } = computeQuotaLimits(account, policy);
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
        // Not the time since the start of this process: demand may move to a node that has just restarted, which knows no
        // earlier requests and would take it for usual.
        const knownMs = Math.min(windowMs, countsForMs);
        const growth = estimateGrowth(sums, state, { amount, reachable: fleet.reachable, knownMs, nowMs });
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
            return admitShare(state, amount, (grantedRate * RECENT_USAGE_MS) / (growth * sums.asked), creditRandom);
        }
        const used = known + ((growth * sums.recent) / RECENT_USAGE_MS - leavingRate) * NEWS_DELAY_USUAL_MS;
        const pacedRate = Math.min(
            leavingRate + (ownTarget - used) / CORRECTION_MS,
            (PACED_RATE_MAX * ownTarget) / windowMs,
        );
        const rate = Math.max(0, Math.min(pacedRate, grantedRate));
        return admitShare(state, amount, (rate * RECENT_USAGE_MS) / sums.asked, creditRandom);
    };
    // Just after a restart of all nodes, usage before it that has left the window may be used as well, and nothing else by an
    // account that had used most of its quota.
    const isQuotaLeft = (state: AccountState, request: ChargeRequest, creditRandom: Random): boolean => {
        const { account, amount, fleet, nowMs } = request;
        const hasLeft = admitByQuota(state, request, creditRandom);
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
        state.firstPart ??= creditRandom.drawFraction();
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
        return admittedShare > 0 && admitShare(state.formerCredit, amount, admittedShare, creditRandom);
    };
    const admitCharge = (state: AccountState, request: ChargeRequest, creditRandom: Random): boolean => {
        const { account, amount, nowMs } = request;
        [state.asked, state.askedInWindow].forEach(counter => counter.add(amount, nowMs));
        return account.quotaPerSecond <= 0 || isQuotaLeft(state, request, creditRandom);
    };
    const recordContact = ({ nodes, reachable }: FleetUsage, nowMs: number) => {
        inTouchSinceMs = nodes > 1 && reachable <= 1 ? undefined : (inTouchSinceMs ?? nowMs);
    };
    return {
        explainCharge: (account, amount, fleet, nowMs) => {
            const state = buildAccountStateCopy(states.get(account.name) ?? createAccountState(windowMs));
            const isolatedBefore = isolated;
            let hasDrawn = false;
            const creditRandom: Random = {
                drawFraction: () => {
                    hasDrawn = true;
                    return BEST_DRAW;
                },
                drawInteger: low => low,
            };
            const { used } = readSums(state, fleet.usage[account.name], 0, nowMs);
            const isAdmitted = admitCharge(state, { account, amount, fleet, nowMs }, creditRandom);
            isolated = isolatedBefore;
            const { quota, limit } = computeQuotaLimits(account, policy);
            return { isAdmitted, isByChance: hasDrawn && isAdmitted, quota, limit, used };
        },
        recordFormerUsage: usage => {
            former = usage;
        },
        charge: (account, amount, fleet, nowMs) => {
            recordContact(fleet, nowMs);
            if (!admitCharge(readState(account.name), { account, amount, fleet, nowMs }, random)) {
                return false;
            }
            charge(account.name, amount, nowMs);
            return true;
        },
        estimateRetryMs: account => {
            const retryMs = states.get(account)?.retryMs;
            return retryMs === undefined || !(retryMs < RETRY_MS.most) ? undefined : Math.max(RETRY_MS.least, retryMs);
        },
        refund: (account, amount, chargedAtMs) => {
            charge(account, -amount, chargedAtMs);
            const { asked, askedInWindow } = readState(account);
            [asked, askedInWindow].forEach(counter => counter.add(-amount, chargedAtMs));
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

/** A request that is judged. */
interface ChargeRequest {
    readonly account: GatewayAccount;
    readonly amount: number;
    readonly fleet: FleetUsage;
    readonly nowMs: number;
}

/** The random number of an explanation: a request that it doesn't admit is refused whatever is drawn. */
const BEST_DRAW = 0;
/** Head start of the ramp-up, without which the first requests after a restart of all nodes would be refused. */
const RAMP_UP_HEAD_START_MS = 400;
/** Length of the ramp-up to the full limit, in windows. Above 1, since usage before the start may have been uneven. */
const RAMP_UP_WINDOWS = 1.25;
/** Time over which the remaining amount is handed out; the reports' longest delay, or usage would swing. */
const HAND_OUT_MS = NEWS_DELAY_MAX_MS;
/** Time over which a paced account is brought to its target; well above the delay of the reports, or it would swing. */
const CORRECTION_MS = 1_500;
/** An account is paced while it asks for more than this multiple of its recent usage, and some requests in addition. */
const OVER_ASKED_RATIO = 1.1;
const OVER_ASKED_REQUESTS = 2;
/**
 * Highest rate of a paced account, as a multiple of the steady one. What is granted above the steady rate is missing
 * until it leaves the window.
 */
const PACED_RATE_MAX = 1.1;
/** A shorter time until a retry is of no use, and a longer one is not estimated. */
const RETRY_MS = { least: 100, most: 1_000 };
/** Highest rate at which usage is taken to leave the window, as a multiple of the steady one; its time isn't exact. */
const LEAVING_RATE_MAX = 1.25;
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
