/**
 * @module Keeps the requests that cold endpoints get from all nodes together at the rate that their service states.
 */
import type { Clock } from "../../base/clock";
import type { DumpSource } from "../../base/dump";
import type { Log } from "../../base/log/log";
import { createColdSenders } from "../../decisions/gateway/createColdSenders";
import { createSendWindow, type SendWindow } from "../../decisions/gateway/createSendWindow";
import { type ColdPlan, listSendingDomains, planColdShares } from "../../decisions/gateway/planColdShares";
import type { NodeIdentity } from "../../decisions/relays/news";
import type { GatewayService, GatewaySettings } from "../../model/gateway";
import type { MemberSink } from "../news/fleetNewsOptions";
import type { GatewayMetrics } from "../process/createGatewayMetrics";
import type { ClusterTime } from "../tables/createClusterTime";
import { computeColdMs, type EndpointRecord } from "./endpointRecord";

/** The rates of cold endpoints. */
export interface ColdEndpoints extends MemberSink, DumpSource {
    /**
     * Gives the time until this node may send a request to an endpoint: 0 for a warm one, and for one whose service states no
     * rate; infinite while another node sends there.
     */
    computeWaitMs(record: EndpointRecord): number;
    /** True if an endpoint is cold and its service states a rate for cold ones. */
    isCold(record: EndpointRecord): boolean;
    /** Gives the same time for an explanation, without a log line or any change of state. */
    readWaitMs(record: EndpointRecord): number;
    /** Records an attempt that is made. */
    chargeAttempt(record: EndpointRecord): void;
}

/** What the rates depend on. */
export interface ColdEndpointsOptions {
    readonly settings: Pick<GatewaySettings, "nodeName" | "failureDomain" | "regions" | "bounds">;
    readonly readService: (name: string) => GatewayService | undefined;
    readonly clusterTime: Pick<ClusterTime, "readClusterMs" | "hasAgreedOffset">;
    /** Gives the number of nodes that this node hears, itself included. */
    readonly countReachable: () => number;
    readonly metrics: Pick<GatewayMetrics, "countColdAttempt">;
    readonly clock: Clock;
    readonly log: Log;
}

/** An endpoint that comes back under the same id later than this after its connections broke has a new entry by then. */
const RETURN_WITHIN_MS = 10_000;
/** Windows that were not used for this long are forgotten. */
const UNUSED_MS = 60_000;
const DEFAULT_OVERRUN = 1.5;
const DEFAULT_SLACK = 5;

/**
 * Creates the rates; nothing was sent yet.
 *
 * @param options - Dependencies
 * @returns The rates
 * @example
 * if (coldEndpoints.computeWaitMs(record) === 0) { coldEndpoints.chargeAttempt(record); }
 */
export function createColdEndpoints(options: ColdEndpointsOptions): ColdEndpoints {
    const { settings, clock, clusterTime, metrics } = options;
    const senders = createColdSenders(settings.nodeName);
    /** By id and not by start: a restarted endpoint keeps what it was sent under its former start. */
    const windows = new Map<string, SendWindow>();

    /** Endpoints that count as cold since their connections broke. */
    const presumed = new WeakSet<EndpointRecord>();

    const listDomains = () => Object.keys(settings.regions).sort();
    const listOwnDomain = (nodes: readonly NodeIdentity[]) =>
        nodes.filter(({ failureDomain }) => failureDomain === settings.failureDomain).map(({ node }) => node);
    const makePlan = (perSecond: number): ColdPlan =>
        planColdShares({
            perSecond,
            overrun: settings.bounds.coldOverrun ?? DEFAULT_OVERRUN,
            slack: settings.bounds.coldSlack ?? DEFAULT_SLACK,
            failureDomains: listDomains(),
        });
    /** Finds the service of an endpoint if it states a rate for cold ones. */
    const findService = (record: EndpointRecord): GatewayService | undefined => {
        const service = options.readService(record.endpoint.service);
        return (service?.coldPerSecond ?? 0) > 0 ? service : undefined;
    };
    const mayHaveRestarted = (record: EndpointRecord, coldStartMs: number): boolean =>
        clock.readMonotonicMs() - record.mayHaveRestartedAtMs < coldStartMs + RETURN_WITHIN_MS;
    const isCold = (record: EndpointRecord, coldStartMs: number): boolean => {
        const nowMs = clock.readMonotonicMs();
        if (mayHaveRestarted(record, coldStartMs)) {
            return true;
        }
        if (computeColdMs(record, nowMs) > 0) {
            return true;
        }
        const { hasColdTime, startedAtMs } = record.endpoint;
        const isUnstated = hasColdTime !== true && !record.hasStatedColdTime && startedAtMs !== undefined;
        return isUnstated && clusterTime.hasAgreedOffset() && clusterTime.readClusterMs() - startedAtMs < coldStartMs;
    };
    const findColdService = (record: EndpointRecord): GatewayService | undefined => {
        const service = findService(record);
        return service !== undefined && isCold(record, service.coldStartMs ?? 0) ? service : undefined;
    };
    /** Logs once that an endpoint counts as cold since its connections broke. */
    const reportRestart = (record: EndpointRecord) => {
        const service = findService(record);
        if (service === undefined) {
            return;
        }
        if (!mayHaveRestarted(record, service.coldStartMs ?? 0)) {
            presumed.delete(record);
        } else if (!presumed.has(record)) {
            presumed.add(record);
            options.log.info("endpoint may have restarted", { endpointId: record.endpoint.id });
        }
    };
    const readWaitMs = (record: EndpointRecord): number => {
        const service = findColdService(record);
        if (service === undefined) {
            return 0;
        }
        const { id } = record.endpoint;
        const nowMs = clock.readMonotonicMs();
        const plan = makePlan(service.coldPerSecond ?? 0);
        const isSending =
            listSendingDomains(id, listDomains(), plan.senders).includes(settings.failureDomain) &&
            senders.isSender(id, nowMs);
        if (!isSending) {
            return Number.POSITIVE_INFINITY;
        }
        return (windows.get(id) ?? createSendWindow()).computeWaitMs(plan, nowMs);
    };
    const expireWindows = (nowMs: number) => {
        for (const [id, window] of windows) {
            if (window.isUnused(UNUSED_MS, nowMs)) {
                windows.delete(id);
            }
        }
    };
    return {
        name: "coldEndpoints",
        computeWaitMs: record => {
            reportRestart(record);
            return readWaitMs(record);
        },
        isCold: record => findColdService(record) !== undefined,
        readWaitMs,
        chargeAttempt: record => {
            reportRestart(record);
            // Also what a warm endpoint gets is recorded: it may turn cold within the window.
            if (findService(record) !== undefined) {
                const { id } = record.endpoint;
                const window = windows.get(id) ?? createSendWindow();
                windows.set(id, window);
                window.recordSend(clock.readMonotonicMs());
                if (findColdService(record) !== undefined) {
                    metrics.countColdAttempt(record.endpoint.service);
                }
            }
        },
        recordKnown: nodes => senders.recordKnown(listOwnDomain(nodes), clock.readMonotonicMs()),
        recordMembers: members => {
            const nodes = listOwnDomain(members);
            const nowMs = clock.readMonotonicMs();
            const isAlone = nodes.length <= 1 && listDomains().length > 1 && options.countReachable() <= 1;
            senders.recordMembers(nodes, isAlone, nowMs);
            expireWindows(nowMs);
        },
        dumpState: () => {
            const nowMs = clock.readMonotonicMs();
            return [...windows.keys()].map(id => ({ id, isSender: senders.isSender(id, nowMs) }));
        },
    };
}
