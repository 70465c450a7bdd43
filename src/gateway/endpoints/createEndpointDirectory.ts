/**
 * @module The endpoints that this node knows and may send requests to.
 */
import type { Clock } from "../../base/clock";
import type { Disposable } from "../../base/disposableStore";
import type { DumpSource } from "../../base/dump";
import type { Log } from "../../base/log/log";
import type { GatewayEndpoint, GatewaySettings } from "../../model/gateway";
import { OTHER_REGION_RTT_MS, STORE_RECOVERY_GRACE_MS, SAME_REGION_RTT_MS } from "../constants";
import type { EndpointActivity } from "../../decisions/relays/news";
import { createEndpointRecord, type EndpointRecord, recordOthers } from "./endpointRecord";

/** Cost of choosing an endpoint in another failure domain or region, in milliseconds of expected time. */
const SAME_REGION_PENALTY_MS = 5;
const OTHER_REGION_PENALTY_MS = 20;

/** What is known of an endpoint's restart once a new entry says how long it stays cold. */
const NO_RESTART = { presumedColdUntilMs: 0, mayHaveRestartedAtMs: Number.NEGATIVE_INFINITY };

const NO_ACTIVITY: EndpointActivity = { inFlight: 0, pendingTokens: 0 };

/** An entry of the endpoint table. */
export interface EndpointEntry {
    readonly id: string;
    /** Absent if the entry was removed or can't be decoded. */
    readonly endpoint: GatewayEndpoint | undefined;
}

/** The endpoints known to a node. */
export interface EndpointDirectory extends Disposable, DumpSource {
    /** Replaces all entries. Missing endpoints are removed, after a grace time if the store has just recovered. */
    replaceAll(entries: readonly EndpointEntry[], isStoreRecovering: boolean): void;
    /** Applies one changed entry; a removal takes effect after a grace time if the store has just recovered. */
    applyEntry(entry: EndpointEntry, isStoreRecovering: boolean): void;
    /** Lists the endpoints of a service that may get new requests. */
    listUsable(service: string): readonly EndpointRecord[];
    /** Lists all endpoints of a service, draining ones included. */
    listAll(service: string): readonly EndpointRecord[];
    /** Lists the same endpoints as `listAll` for an explanation, without removing those that are missing for too long. */
    readAll(service: string): readonly EndpointRecord[];
    findEndpoint(id: string): EndpointRecord | undefined;
    /** Gives what this node does at the endpoints, by id; without those at which it does nothing. */
    readActivity(): Readonly<Record<string, EndpointActivity>>;
    /** Records what the other nodes do at the endpoints; nothing at those that are absent. */
    recordOthers(activity: ReadonlyMap<string, EndpointActivity>): void;
    /**
     * Records that the endpoints of a failure domain may have been restarted: they count as cold until that time is over, or
     * until an entry or answer from then on says otherwise.
     */
    recordReturn(failureDomain: string, readColdStartMs: (service: string) => number): void;
    /** True once a complete list was read. */
    isLoaded(): boolean;
}

/**
 * Creates an empty directory.
 *
 * @param settings - Settings of this node, with its failure domain and the regions
 * @param clock - Measures the grace time
 * @param log - Gets a line for each endpoint that is found, drains or is removed
 * @returns The directory
 * @example
 * directory.listUsable("assistant");
 */
export function createEndpointDirectory(settings: GatewaySettings, clock: Clock, log: Log): EndpointDirectory {
    const records = new Map<string, EndpointRecord>();
    let hasCompleteList = false;

    const removeRecord = (record: EndpointRecord, reason: string) => {
        records.delete(record.endpoint.id);
        record.connections.dispose();
        log.info("endpoint removed", { endpointId: record.endpoint.id, service: record.endpoint.service, reason });
    };
    const applyMissing = (record: EndpointRecord, isStoreRecovering: boolean) => {
        if (!isStoreRecovering) {
            removeRecord(record, "its entry was removed");
        } else if (record.missingSinceMs === undefined) {
            record.missingSinceMs = clock.readMonotonicMs();
            log.info("endpoint missing after a store outage", { endpointId: record.endpoint.id });
        }
    };
    const applyPresent = (endpoint: GatewayEndpoint) => {
        const record = records.get(endpoint.id);
        if (record !== undefined && isSameInstance(record.endpoint, endpoint)) {
            if (endpoint.isDraining && !record.endpoint.isDraining) {
                log.info("endpoint drains", { endpointId: endpoint.id, service: endpoint.service });
            }
            records.set(
                endpoint.id,
                Object.assign(record, {
                    endpoint,
                    ...(isNewerColdTime(record, endpoint)
                        ? { coldUntilMs: clock.readMonotonicMs() + endpoint.coldForMs, ...NO_RESTART }
                        : {}),
                    missingSinceMs: undefined,
                }),
            );
            return;
        }
        if (record !== undefined) {
            removeRecord(record, "it was restarted");
        }
        records.set(endpoint.id, createEndpointRecord(endpoint, computeDistance(settings, endpoint), clock));
        log.info("endpoint found", {
            endpointId: endpoint.id,
            service: endpoint.service,
            version: endpoint.version,
            failureDomain: endpoint.failureDomain,
            isReclaimable: endpoint.isReclaimable,
        });
    };
    const applyEntry = ({ id, endpoint }: EndpointEntry, isStoreRecovering: boolean) => {
        const record = records.get(id);
        if (endpoint !== undefined) {
            applyPresent(endpoint);
        } else if (record !== undefined) {
            applyMissing(record, isStoreRecovering);
        }
    };
    const isExpired = ({ missingSinceMs }: EndpointRecord, nowMs: number): boolean =>
        missingSinceMs !== undefined && nowMs - missingSinceMs > STORE_RECOVERY_GRACE_MS;
    const expireMissing = () => {
        const nowMs = clock.readMonotonicMs();
        for (const record of records.values()) {
            if (isExpired(record, nowMs)) {
                removeRecord(record, "its entry did not reappear after a store outage");
            }
        }
    };
    const listAll = (service: string) => {
        expireMissing();
        return [...records.values()].filter(record => record.endpoint.service === service);
    };
    const readAll = (service: string) => {
        const nowMs = clock.readMonotonicMs();
        return [...records.values()].filter(record => record.endpoint.service === service && !isExpired(record, nowMs));
    };
    return {
        name: "endpoints",
        applyEntry,
        replaceAll: (entries, isStoreRecovering) => {
            hasCompleteList = true;
            const present = new Set(entries.map(entry => entry.id));
            entries.forEach(entry => applyEntry(entry, isStoreRecovering));
            [...records.values()]
                .filter(record => !present.has(record.endpoint.id))
                .forEach(record => applyMissing(record, isStoreRecovering));
        },
        listAll,
        readAll,
        listUsable: service => listAll(service).filter(isUsable),
        findEndpoint: id => records.get(id),
        readActivity: () =>
            Object.fromEntries(
                [...records.values()]
                    .filter(({ ownInFlight }) => ownInFlight > 0)
                    .map(({ endpoint, ownInFlight, pendingTokens }) => [
                        endpoint.id,
                        { inFlight: ownInFlight, pendingTokens: Math.max(0, pendingTokens) },
                    ]),
            ),
        recordOthers: activity => {
            const nowMs = clock.readMonotonicMs();
            const near = new Set([...activity.keys()].map(id => records.get(id)?.endpoint.failureDomain));
            for (const [id, record] of records) {
                const others = activity.get(id);
                if (others !== undefined || near.has(record.endpoint.failureDomain)) {
                    recordOthers(record, others ?? NO_ACTIVITY, nowMs);
                }
            }
        },
        recordReturn: (failureDomain, readColdStartMs) => {
            const nowMs = clock.readMonotonicMs();
            for (const record of records.values()) {
                const coldMs =
                    record.endpoint.failureDomain === failureDomain ? readColdStartMs(record.endpoint.service) : 0;
                if (coldMs > 0) {
                    record.presumedColdUntilMs = nowMs + coldMs;
                }
            }
        },
        isLoaded: () => hasCompleteList,
        dumpState: () =>
            [...records.values()].map(({ endpoint, ownInFlight, bias, failures, suspectUntilMs, load }) => ({
                endpoint,
                ownInFlight,
                bias,
                failures,
                suspectUntilMs,
                load,
            })),
        dispose: () => records.forEach(record => record.connections.dispose()),
    };
}

/** Why an endpoint gets no new requests at all. The values appear in answers to operators. */
export enum UsabilityBar {
    /** Its entry says that it stops. */
    Draining = "draining",
    /** Another endpoint answers at its address. */
    Misdirected = "misdirected",
    /** It has said in an answer that it leaves. */
    Leaving = "leaving",
}

/** Explains why an endpoint gets no new requests, by its entry and by its own answers; `undefined` if it may. */
export function explainUsability({ endpoint, isMisdirected, isLeaving }: EndpointRecord): UsabilityBar | undefined {
    if (endpoint.isDraining) {
        return UsabilityBar.Draining;
    }
    if (isMisdirected) {
        return UsabilityBar.Misdirected;
    }
    return isLeaving ? UsabilityBar.Leaving : undefined;
}

function isUsable(record: EndpointRecord): boolean {
    return explainUsability(record) === undefined;
}

/** Tells whether an entry states a cold time that it didn't state before; an entry that is read again tells nothing new. */
function isNewerColdTime({ endpoint: before }: EndpointRecord, after: GatewayEndpoint): boolean {
    return after.hasColdTime === true && JSON.stringify(before) !== JSON.stringify(after);
}

/** Tells whether two entries describe the same start of an endpoint. */
function isSameInstance(before: GatewayEndpoint, after: GatewayEndpoint): boolean {
    return (
        before.startedAtMs === after.startedAtMs &&
        before.service === after.service &&
        before.target.address === after.target.address &&
        before.target.port === after.target.port
    );
}

/** Computes the round-trip time and the cost of the distance between this node and an endpoint. */
function computeDistance(settings: GatewaySettings, endpoint: GatewayEndpoint) {
    if (endpoint.failureDomain === settings.failureDomain) {
        return { roundTripMs: 0, penaltyMs: 0 };
    }
    const isSameRegion = settings.regions[endpoint.failureDomain] === settings.regions[settings.failureDomain];
    return isSameRegion
        ? { roundTripMs: SAME_REGION_RTT_MS, penaltyMs: SAME_REGION_PENALTY_MS }
        : { roundTripMs: OTHER_REGION_RTT_MS, penaltyMs: OTHER_REGION_PENALTY_MS };
}
