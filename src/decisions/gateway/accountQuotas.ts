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
import type { UsageHistory } from "./usageHistory";
import { type AccountState, buildAccountStateCopy, createAccountState } from "./accountState";

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
    /** Explains what `charge` would decide now, and changes nothing. */
    explainCharge(account: GatewayAccount, amount: number, fleet: FleetUsage, nowMs: number): ChargeExplanation;
    /**
     * Refunds the amount that was charged for a request that was not executed. It is taken off at the time of the charge:
     * the refund of a request that waited would otherwise stay in the window after its charge has left it, and more than
     * the quota would be granted. It doesn't count as asked for either, so a retry is judged as a new request.
     */
    refund(account: string, amount: number, chargedAtMs: number): void;
    /** Gives the usage at this node, for its reports to the other nodes. */
    describeUsage(nowMs: number): Pick<FleetView, "usage" | "countsForMs">;
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
        const { quota, target, limit } = computeLimits(account, policy);
        const sums = readSums(state, fleet.usage[account.name], amount, nowMs);
        const countsForMs = Math.max(computeUptimeMs(nowMs), fleet.countsForMs);
        const rampUpShare = computeRampUpShare(countsForMs, windowMs);
        const reachableShare = computeReachableShare(fleet);
        const known = sums.used + (fleet.silentUsage[account.name] ?? 0) + (fleet.lostUsage[account.name] ?? 0);
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
    const admitCharge = (state: AccountState, request: ChargeRequest, creditRandom: Random): boolean => {
        const { account, amount, nowMs } = request;
        [state.asked, state.askedInWindow].forEach(counter => counter.add(amount, nowMs));
        return account.quotaPerSecond <= 0 || admitByQuota(state, request, creditRandom);
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
            const { quota, limit } = computeLimits(account, policy);
            return { isAdmitted, isByChance: hasDrawn && isAdmitted, quota, limit, used };
        },
        charge: (account, amount, fleet, nowMs) => {
            if (!admitCharge(readState(account.name), { account, amount, fleet, nowMs }, random)) {
                return false;
            }
            charge(account.name, amount, nowMs);
            return true;
        },
        refund: (account, amount, chargedAtMs) => {
            charge(account, -amount, chargedAtMs);
            const { asked, askedBefore } = readState(account);
            [asked, askedBefore].forEach(counter => counter.add(-amount, chargedAtMs));
        },
        describeUsage: nowMs => ({
            usage: Object.fromEntries([...states].map(([name, state]) => [name, readOwnSums(state, nowMs)])),
            countsForMs: Math.min(windowMs, computeUptimeMs(nowMs)),
        }),
    };
}

/** A request that is judged. */
interface ChargeRequest {
    readonly account: GatewayAccount;
    readonly amount: number;
    readonly fleet: FleetUsage;
    readonly nowMs: number;
}

const MS_PER_S = 1_000;
/** The random number of an explanation: a request that it doesn't admit is refused whatever is drawn. */
const BEST_DRAW = 0;
/** Share of the bound that is used; the rest is for what the estimate of unreported usage misses. */
const USABLE_SHARE = 0.985;
/** Where between the quota and the bound the usage of an over-asking account is held: 0 is the quota, 1 the bound. */
const TARGET_POSITION = 0.6;
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
/**
 * Highest rate of a paced account, as a multiple of the steady one. What is granted above the steady rate is missing
 * until it leaves the window.
 */
const PACED_RATE_MAX = 1.1;
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

/** What all nodes together may charge to an account in a window. */
interface QuotaLimits {
    readonly quota: number;
    /** What an over-asking account is held at. */
    readonly target: number;
    readonly limit: number;
}

function computeLimits(account: GatewayAccount, { quotaWindowMs, quotaOverrun, quotaSlack }: QuotaPolicy): QuotaLimits {
    const quota = (account.quotaPerSecond * quotaWindowMs) / MS_PER_S + account.quotaBurst;
    const tolerance = quota * quotaOverrun + (account.countsTokens ? quotaSlack : 0);
    return { quota, target: quota + TARGET_POSITION * tolerance, limit: (quota + tolerance) * USABLE_SHARE };
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
    { asked, askedInWindow }: AccountState,
    { amount, reachable, knownMs, nowMs }: GrowthInput,
): number {
    const prior = Math.max(sums.asked / Math.max(1, reachable), GROWTH_PRIOR_REQUESTS * amount);
    const usual = (askedInWindow.sum(nowMs) * RECENT_USAGE_MS) / Math.max(RECENT_USAGE_MS, knownMs);
    const received = Math.max(0, asked.sum(nowMs) - amount);
    // Less one standard deviation, or the chance arrival of a few requests would count as growth.
    return Math.max(1, (received - Math.sqrt(received * amount) + prior) / (usual + prior));
}

/** The request that is judged, and where. */
interface GrowthInput {
    readonly amount: number;
    /** Nodes whose usage is reported. */
    readonly reachable: number;
    /** For how long a node of the group has known what it was asked for, up to the quota window. */
    readonly knownMs: number;
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
    { windowMs, nowMs }: { readonly windowMs: number; readonly nowMs: number },
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

/**
 * Admits a share of what is asked for, evenly: each request adds its part of the share to a credit, and a request that
 * finds credit is admitted, whatever its size. Chance alone would vary by several hundredths of a quota in a window.
 */
function admitShare(state: AccountState, amount: number, share: number, random: Random): boolean {
    if (!(share < 1)) {
        return true;
    }
    const { formerAmount, credit } = state.shareCredit ?? {
        formerAmount: amount,
        credit: -random.drawFraction() * amount,
    };
    // The former request's part is added and not its own, or large requests would be admitted far more often than small.
    const available = credit + share * formerAmount;
    const isAdmitted = available > 0;
    state.shareCredit = { formerAmount: amount, credit: isAdmitted ? available - amount : available };
    return isAdmitted;
}

/** Computes the share of the limit that is granted while the usage charged before the start is unknown. */
function computeRampUpShare(countsForMs: number, windowMs: number): number {
    return countsForMs >= windowMs ? 1 : (countsForMs + RAMP_UP_HEAD_START_MS) / (RAMP_UP_WINDOWS * windowMs);
}

/** Computes the share of the limit that this node and the nodes reachable from it may use together. */
function computeReachableShare({ nodes, reachable, isCounted }: FleetUsage): number {
    return isCounted ? Math.min(1, reachable / Math.max(1, nodes)) : 0;
}
