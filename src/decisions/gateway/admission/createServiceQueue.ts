/**
 * @module Creates the queue of one service at a node.
 *
 * A request waits only while it can be on time; a late one starts if a seat is free at that moment and is refused
 * otherwise. Order: the rank, then start-time fair queuing between the accounts
 * of a rank by cost, then the least slack. Each account of a rank has a finish tag and the rank a virtual time; the next
 * request is that of the account with the lowest start tag `max(virtualTime - credit, finishTag)`. Tags advance when a request
 * starts, so that refused requests cost their account nothing.
 */
import { createStartEstimate } from "./createStartEstimate";
import {
    type AdmissionRequest,
    type NodeSeats,
    type QueueBounds,
    RefusalReason,
    type RefusedEntry,
    type ServiceQueue,
    type WaitingEntry,
} from "./serviceQueue";

/** Bounds of the retry time; with a shorter one callers return before anything has changed. */
const RETRY_MIN_MS = 100;
const RETRY_MAX_MS = 5_000;
/** Retry times are lengthened by up to this share, so that refused callers don't return at once. */
const RETRY_SPREAD = 0.5;
/**
 * Requests of mean cost that an account which used less than its share may start ahead of the others. Without them an
 * account near its fair share loses a quarter of its requests: it has none waiting at one time and too many at another.
 */
const CREDIT_REQUESTS = 16;
/** Weight of a request in the mean cost of its rank. */
const COST_WEIGHT = 0.02;
/** Accounts of a rank without waiting requests that are kept, for their finish tags. */
const IDLE_FLOWS_MAX = 1_000;

/** The requests of one account in one rank. */
interface Flow {
    readonly waiting: Set<WaitingEntry>;
    finishTag: number;
}

/** The accounts of one rank. */
interface Rank {
    readonly flows: Map<string, Flow>;
    virtualTime: number;
    meanCost: number;
}

/**
 * Creates an empty queue.
 *
 * @param bounds - How much may wait
 * @returns The queue
 * @example
 * const queue = createServiceQueue({ waitingMax: 256, bytesMax: 16_000_000 });
 */
export function createServiceQueue(bounds: QueueBounds): ServiceQueue {
    const ranks = new Map<number, Rank>();
    const estimate = createStartEstimate();
    const entries = new Set<WaitingEntry>();
    let bytes = 0;

    const ensureFlow = (request: AdmissionRequest): { rank: Rank; flow: Flow } => {
        const { rank: number, account } = request;
        const rank = ranks.get(number) ?? { flows: new Map<string, Flow>(), virtualTime: 0, meanCost: request.cost };
        ranks.set(number, rank);
        const flow = rank.flows.get(account) ?? { waiting: new Set<WaitingEntry>(), finishTag: rank.virtualTime };
        rank.flows.set(account, flow);
        return { rank, flow };
    };
    const computeTag = ({ virtualTime, meanCost }: Rank, { finishTag }: Flow) =>
        Math.max(virtualTime - CREDIT_REQUESTS * meanCost, finishTag);
    const chargeFlow = (request: AdmissionRequest) => {
        const { rank, flow } = ensureFlow(request);
        const tag = computeTag(rank, flow);
        rank.meanCost += COST_WEIGHT * (request.cost - rank.meanCost);
        rank.virtualTime = Math.max(rank.virtualTime, tag);
        flow.finishTag = tag + request.cost;
        if (rank.flows.size > IDLE_FLOWS_MAX) {
            for (const [name, idle] of rank.flows) {
                if (idle.waiting.size === 0 && idle.finishTag <= rank.virtualTime - CREDIT_REQUESTS * rank.meanCost) {
                    rank.flows.delete(name);
                }
            }
        }
    };
    const removeEntry = (entry: WaitingEntry) => {
        if (entries.delete(entry)) {
            bytes -= entry.request.bytes;
            ensureFlow(entry.request).flow.waiting.delete(entry);
        }
    };
    /** Counts the waiting requests that would start before this one. */
    const countAhead = (request: AdmissionRequest): number => {
        const { rank, flow } = ensureFlow(request);
        const latestMs = estimate.computeLatestStartMs(request);
        const own = [...flow.waiting].filter(entry => estimate.computeLatestStartMs(entry.request) <= latestMs);
        const tag = computeTag(rank, flow) + sumCosts(own);
        let ahead = own.length;
        for (const [number, other] of ranks) {
            for (const flowOfOther of other.flows.values()) {
                const { waiting } = flowOfOther;
                if (number < request.rank) {
                    ahead += waiting.size;
                } else if (number === request.rank && waiting !== flow.waiting && waiting.size > 0) {
                    const lead = tag - computeTag(other, flowOfOther);
                    ahead += waiting.size * Math.min(1, Math.max(0, lead) / sumCosts([...waiting]));
                }
            }
        }
        return ahead;
    };
    const computeRetryMs = (waitMs: number, { spread }: AdmissionRequest) =>
        Math.ceil(Math.min(RETRY_MAX_MS, Math.max(RETRY_MIN_MS, waitMs * (1 + RETRY_SPREAD * spread))));
    const describeRefusal = (request: AdmissionRequest, reason: RefusalReason, seats: NodeSeats, nowMs: number) => {
        const waitMs = estimate.estimateWaitMs(request.rank, countAhead(request), seats, nowMs);
        // A new request with the same objective has this much slack.
        const slackMs = Math.max(0, estimate.computeLatestStartMs(request) - nowMs);
        return { reason, retryAfterMs: computeRetryMs(Math.max(0, waitMs - slackMs), request) };
    };

    /** Finds the request that gives way at a bound: of the least urgent rank, of the account with most waiting. */
    const findDisplaced = (request: AdmissionRequest): WaitingEntry | undefined => {
        const last = Math.max(...[...entries].map(entry => entry.request.rank));
        const flows = [...(ranks.get(last)?.flows.values() ?? [])];
        const largest = flows.reduce((left, right) => (right.waiting.size > left.waiting.size ? right : left));
        const isFairer = ensureFlow(request).flow.waiting.size + 1 < largest.waiting.size;
        return last > request.rank || (last === request.rank && isFairer)
            ? [...largest.waiting].sort(compareSlack).at(-1)
            : undefined;
    };
    const hasRoom = ({ bytes: added }: AdmissionRequest, freed = 0) =>
        entries.size - (freed > 0 ? 1 : 0) < bounds.waitingMax && bytes + added - freed <= bounds.bytesMax;
    const compareSlack = (left: WaitingEntry, right: WaitingEntry) =>
        estimate.computeLatestStartMs(left.request) - estimate.computeLatestStartMs(right.request);

    const canStart = ({ isNearFull, running, seats, free }: NodeSeats) =>
        // While the endpoints have room, seats don't count: a node that has most of the callers may run more than its share.
        // The last part of a seat counts as a whole one only while a slot is free.
        !isNearFull || running + 1 <= seats || (running < seats && free >= 1);
    /** Finds the waiting request that is first in the order. */
    const findFirst = (): WaitingEntry | undefined => {
        const first = Math.min(...[...entries].map(({ request }) => request.rank));
        const inRank = [...entries].filter(({ request }) => request.rank === first);
        const tags = new Map<string, number>();
        for (const { request } of inRank) {
            const { rank, flow } = ensureFlow(request);
            tags.set(request.account, computeTag(rank, flow));
        }
        const leastTag = Math.min(...tags.values());
        return inRank
            .filter(({ request }) => tags.get(request.account) === leastTag)
            .sort(compareSlack)
            .at(0);
    };

    return {
        decideArrival: (request, seats, nowMs) => {
            if (entries.size === 0 && canStart(seats)) {
                estimate.recordArrival(request.rank, nowMs);
                estimate.recordStart(request.rank, nowMs);
                chargeFlow(request);
                return { kind: "start" };
            }
            const waitMs = estimate.estimateWaitMs(request.rank, countAhead(request), seats, nowMs);
            if (nowMs + waitMs > estimate.computeLatestStartMs(request)) {
                const reason = waitMs === Infinity ? RefusalReason.Rank : RefusalReason.Late;
                return { kind: "refuse", refusal: describeRefusal(request, reason, seats, nowMs) };
            }
            let displaced: RefusedEntry | undefined;
            if (!hasRoom(request)) {
                const entry = entries.size === 0 ? undefined : findDisplaced(request);
                if (entry === undefined || !hasRoom(request, Math.max(1, entry.request.bytes))) {
                    return { kind: "refuse", refusal: describeRefusal(request, RefusalReason.Full, seats, nowMs) };
                }
                removeEntry(entry);
                displaced = { entry, ...describeRefusal(entry.request, RefusalReason.Full, seats, nowMs) };
            }
            const entry = { request, queuedAtMs: nowMs };
            estimate.recordArrival(request.rank, nowMs);
            entries.add(entry);
            bytes += request.bytes;
            ensureFlow(request).flow.waiting.add(entry);
            return { kind: "wait", entry, displaced };
        },
        takeNext: (seats, nowMs) => {
            if (entries.size === 0 || !canStart(seats)) {
                return undefined;
            }
            const entry = findFirst();
            if (entry !== undefined) {
                removeEntry(entry);
                chargeFlow(entry.request);
                estimate.recordStart(entry.request.rank, nowMs);
            }
            return entry;
        },
        dropLate: (seats, nowMs) => {
            const late = [...entries].filter(({ request }) => nowMs > estimate.computeLatestStartMs(request));
            late.forEach(removeEntry);
            return late.map(entry => ({
                entry,
                ...describeRefusal(entry.request, RefusalReason.Late, seats, nowMs),
            }));
        },
        removeEntry,
        recordFirstPart: estimate.recordFirstPart,
        recordEnd: estimate.recordEnd,
        countWaiting: () => entries.size,
        countBytes: () => bytes,
    };
}

function sumCosts(entries: readonly WaitingEntry[]): number {
    return entries.reduce((sum, { request }) => sum + request.cost, 0);
}
