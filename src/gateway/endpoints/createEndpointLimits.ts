/**
 * @module The limits that endpoints name: how many requests a second each takes from all nodes together.
 *
 * A limit is shared by few nodes, which all nodes know by the news; each of them has a part of the rate and room for two
 * requests, so that what arrives in a short time stays near the limit however many nodes there are. A node that has just
 * learnt of a limit has sent its room already.
 */
import type { Clock } from "../../base/clock";
import type { DumpSource } from "../../base/dump";
import type { Log } from "../../base/log/log";
import type { LimitReport } from "../../decisions/relays/news";
import type { ResponseHead } from "../../ports/forwardingCodec";
import type { ClusterTime } from "../tables/createClusterTime";
import type { EndpointDirectory } from "./createEndpointDirectory";
import type { EndpointRecord } from "./endpointRecord";
import type { LimitSource } from "../news/fleetNewsOptions";

/** The limits of all endpoints. */
export interface EndpointLimits extends LimitSource, DumpSource {
    /** Gives the time until an attempt may be made at an endpoint; 0 if it may be made now. */
    computeWaitMs(record: EndpointRecord): number;
    /** True if an endpoint names a limit. */
    isLimited(record: EndpointRecord): boolean;
    /** Gives the same time for an explanation, without any change of state. */
    readWaitMs(record: EndpointRecord): number;
    /** Charges an attempt that is made. */
    chargeAttempt(record: EndpointRecord): void;
    /** Records that this node has a request that it could send to an endpoint with a limit. */
    recordDemand(record: EndpointRecord): void;
    /** Records what an answer says; `sentAtMs` is the monotonic time at which its request was sent. */
    recordAnswer(record: EndpointRecord, answer: ResponseHead, sentAtMs: number): void;
}

/** What the limits depend on. */
export interface EndpointLimitsOptions {
    readonly nodeName: string;
    readonly directory: Pick<EndpointDirectory, "findEndpoint">;
    readonly clusterTime: Pick<ClusterTime, "readClusterMs" | "hasAgreedOffset">;
    /** Gives the live nodes, and those that this node hears, itself included. */
    readonly readFleet: () => { readonly nodes: number; readonly reachable: number };
    readonly clock: Clock;
    readonly log: Log;
}

interface LimitState {
    report: LimitReport;
    /** Monotonic time at which this node learnt that the endpoint has a limit. */
    learntAtMs: number;
    /** Requests that may be sent, as it was at `filledAtMs`. */
    tokens: number;
    filledAtMs: number;
    /** Monotonic time until which this node wants to be a sender. */
    wantsUntilMs: number;
}

const MS_PER_S = 1_000;
/** Share of a limit that is used; the rest covers that two nodes may differ on who sends. */
const USABLE_SHARE = 0.95;
/** An endpoint that takes nothing is still asked from time to time, or it could never be heard to take more. */
const PROBES_PER_SECOND = 0.2;
/** Most requests that a sender may have saved up. */
const TOKENS_MAX = 2;
/** Time for which a node without requests for an endpoint stays a sender. */
const DEMAND_MS = 2_000;
/** An ended limit is passed on for this long, so that all nodes learn of it. */
const ENDED_RETENTION_MS = 10_000;

/**
 * Creates the limits; none is known yet.
 *
 * @param options - Dependencies
 * @returns The limits
 * @example
 * if (limits.computeWaitMs(record) === 0) { limits.chargeAttempt(record); }
 */
export function createEndpointLimits(options: EndpointLimitsOptions): EndpointLimits {
    const { clock, clusterTime, log, nodeName } = options;
    const states = new Map<string, LimitState>();

    const applyReport = (key: string, report: LimitReport) => {
        const nowMs = clock.readMonotonicMs();
        const known = states.get(key);
        if (known?.report.perSecond !== report.perSecond) {
            log.info("endpoint limit", { endpointId: key, perSecond: report.perSecond });
        }
        if (known === undefined) {
            states.set(key, { report, learntAtMs: nowMs, tokens: 0, filledAtMs: nowMs, wantsUntilMs: nowMs });
        } else {
            fill(known, nowMs);
            if (known.report.perSecond === undefined && report.perSecond !== undefined) {
                Object.assign(known, { learntAtMs: nowMs, tokens: 0 });
            }
            known.report = report;
        }
    };
    /** Computes the rate at which this node may send; 0 if it is no sender. */
    const computeRate = ({ report: { perSecond, senders } }: LimitState): number => {
        if (perSecond === undefined || !senders.includes(nodeName)) {
            return 0;
        }
        const { nodes, reachable } = options.readFleet();
        const reachableShare = Math.min(1, reachable / Math.max(1, nodes));
        const rate = Math.max(PROBES_PER_SECOND, perSecond * USABLE_SHARE);
        return (rate * reachableShare) / senders.length;
    };
    const computeTokens = (state: LimitState, nowMs: number): number =>
        Math.min(TOKENS_MAX, state.tokens + (computeRate(state) * (nowMs - state.filledAtMs)) / MS_PER_S);
    const fill = (state: LimitState, nowMs: number) => {
        state.tokens = computeTokens(state, nowMs);
        state.filledAtMs = nowMs;
    };
    const readWaitMs = (record: EndpointRecord): number => {
        const state = findLimit(record);
        const missing = state === undefined ? 0 : 1 - computeTokens(state, clock.readMonotonicMs());
        return state === undefined || missing <= 0 ? 0 : (missing / computeRate(state)) * MS_PER_S;
    };
    const findLimit = (record: EndpointRecord): LimitState | undefined => {
        const state = states.size === 0 ? undefined : states.get(buildKey(record));
        return state?.report.perSecond === undefined ? undefined : state;
    };
    const isKnownEndpoint = (key: string) => {
        const record = options.directory.findEndpoint(parseEndpointId(key));
        return record !== undefined && buildKey(record) === key;
    };
    const expireStates = () => {
        const clusterMs = clusterTime.readClusterMs();
        for (const [key, { report }] of states) {
            const hasEnded = report.perSecond === undefined && clusterMs - report.atMs > ENDED_RETENTION_MS;
            if (hasEnded || !isKnownEndpoint(key)) {
                states.delete(key);
            }
        }
    };
    return {
        name: "limits",
        computeWaitMs: record => {
            const state = findLimit(record);
            if (state !== undefined) {
                fill(state, clock.readMonotonicMs());
            }
            return readWaitMs(record);
        },
        isLimited: record => findLimit(record) !== undefined,
        readWaitMs,
        chargeAttempt: record => {
            const state = findLimit(record);
            if (state !== undefined) {
                fill(state, clock.readMonotonicMs());
                state.tokens--;
            }
        },
        recordDemand: record => {
            const state = findLimit(record);
            if (state !== undefined) {
                state.wantsUntilMs = clock.readMonotonicMs() + DEMAND_MS;
            }
        },
        recordAnswer: (record, { requestsPerSecondMax: perSecond, isMisdirected }, sentAtMs) => {
            const key = buildKey(record);
            const known = states.get(key);
            // An answer that may have begun before the limit was named doesn't end it.
            const isNews = perSecond !== undefined || (known !== undefined && sentAtMs > known.learntAtMs);
            if (isMisdirected || !isNews || (perSecond === undefined && known?.report.perSecond === undefined)) {
                return;
            }
            const senders = known?.report.senders ?? [];
            applyReport(key, { perSecond, atMs: clusterTime.readClusterMs(), senders });
        },
        readLimits: () => {
            expireStates();
            if (!clusterTime.hasAgreedOffset()) {
                return {};
            }
            const nowMs = clock.readMonotonicMs();
            return Object.fromEntries(
                [...states].map(([key, { report, wantsUntilMs }]) => [
                    key,
                    { ...report, senders: nowMs < wantsUntilMs ? [nodeName] : [] },
                ]),
            );
        },
        mergeLimits: reports => {
            for (const [key, report] of Object.entries(reports)) {
                const known = states.get(key);
                if (known === undefined && report.perSecond !== undefined && isKnownEndpoint(key)) {
                    applyReport(key, report);
                } else if (known !== undefined) {
                    const isNewer = report.atMs > known.report.atMs;
                    applyReport(key, isNewer ? report : { ...known.report, senders: report.senders });
                }
            }
        },
        dumpState: () => [...states].map(([key, state]) => ({ key, ...state, rate: computeRate(state) })),
    };
}

/** Separates an endpoint's id from its start in a key; ids don't have it. */
const START_SEPARATOR = "@";

/** Builds the key of an endpoint's present start: a new one knows nothing of former limits. */
function buildKey({ endpoint: { id, startedAtMs } }: EndpointRecord): string {
    return startedAtMs === undefined ? id : `${id}${START_SEPARATOR}${startedAtMs}`;
}

function parseEndpointId(key: string): string {
    const end = key.lastIndexOf(START_SEPARATOR);
    return end < 0 ? key : key.slice(0, end);
}
