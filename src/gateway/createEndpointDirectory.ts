/**
 * @module The endpoints that a node may use.
 */
import type { Clock } from "../base/clock";
import type { Disposable } from "../base/disposableStore";
import type { DumpSource } from "../base/dump";
import type { Log } from "../base/log/log";
import type { GatewayEndpoint, GatewaySettings } from "../model/gateway";
import { OTHER_REGION_RTT_MS, STORE_RECOVERY_GRACE_MS, SAME_REGION_RTT_MS } from "./constants";
import { createEndpointRecord, type EndpointRecord } from "./endpointRecord";

/** Costs of leaving a failure domain or region, in milliseconds of expected time. */
const SAME_REGION_PENALTY_MS = 5;
const OTHER_REGION_PENALTY_MS = 20;

/** What the directory is told about an entry. */
export interface EndpointEntry {
    readonly id: string;
    /** Absent if the entry was removed or can't be read. */
    readonly endpoint: GatewayEndpoint | undefined;
}

/** The endpoints known to a node. */
export interface EndpointDirectory extends Disposable, DumpSource {
    /** Replaces all entries; those that are missing go, after a grace time if the store was away until now. */
    replaceAll(entries: readonly EndpointEntry[], wasStoreAway: boolean): void;
    applyEntry(entry: EndpointEntry, wasStoreAway: boolean): void;
    /** Lists the endpoints of a service that may be sent new work. */
    listUsable(service: string): readonly EndpointRecord[];
    /** Lists all endpoints of a service, draining ones included. */
    listAll(service: string): readonly EndpointRecord[];
    findEndpoint(id: string): EndpointRecord | undefined;
    /** True once a complete list was read. */
    isLoaded(): boolean;
}

/**
 * Creates an empty directory.
 *
 * @param settings - Where this node is
 * @param clock - Its clock
 * @param log - Gets a line for each endpoint that comes, drains or goes
 * @returns The directory
 * @example
 * directory.listUsable("newsdesk-llm");
 */
export function createEndpointDirectory(settings: GatewaySettings, clock: Clock, log: Log): EndpointDirectory {
    const records = new Map<string, EndpointRecord>();
    let hasCompleteList = false;

    const removeRecord = (record: EndpointRecord, reason: string) => {
        records.delete(record.endpoint.id);
        record.connections.dispose();
        log.info("endpoint removed", { endpointId: record.endpoint.id, service: record.endpoint.service, reason });
    };
    const applyMissing = (record: EndpointRecord, wasStoreAway: boolean) => {
        if (!wasStoreAway) {
            removeRecord(record, "its entry is gone");
        } else if (record.missingSinceMs === undefined) {
            record.missingSinceMs = clock.readMonotonicMs();
            log.info("endpoint missing after the store was away", { endpointId: record.endpoint.id });
        }
    };
    const applyPresent = (endpoint: GatewayEndpoint) => {
        const record = records.get(endpoint.id);
        if (record !== undefined && isSameInstance(record.endpoint, endpoint)) {
            if (endpoint.isDraining && !record.endpoint.isDraining) {
                log.info("endpoint drains", { endpointId: endpoint.id, service: endpoint.service });
            }
            records.set(endpoint.id, Object.assign(record, { endpoint, missingSinceMs: undefined }));
            return;
        }
        if (record !== undefined) {
            removeRecord(record, "it started again");
        }
        records.set(endpoint.id, createEndpointRecord(endpoint, computeDistance(settings, endpoint), clock));
        log.info("endpoint found", {
            endpointId: endpoint.id,
            service: endpoint.service,
            failureDomain: endpoint.failureDomain,
            isReclaimable: endpoint.isReclaimable,
        });
    };
    const applyEntry = ({ id, endpoint }: EndpointEntry, wasStoreAway: boolean) => {
        const record = records.get(id);
        if (endpoint !== undefined) {
            applyPresent(endpoint);
        } else if (record !== undefined) {
            applyMissing(record, wasStoreAway);
        }
    };
    const expireMissing = () => {
        const nowMs = clock.readMonotonicMs();
        for (const record of records.values()) {
            if (record.missingSinceMs !== undefined && nowMs - record.missingSinceMs > STORE_RECOVERY_GRACE_MS) {
                removeRecord(record, "it did not come back with the store");
            }
        }
    };
    const listAll = (service: string) => {
        expireMissing();
        return [...records.values()].filter(record => record.endpoint.service === service);
    };
    return {
        name: "endpoints",
        applyEntry,
        replaceAll: (entries, wasStoreAway) => {
            hasCompleteList = true;
            const present = new Set(entries.map(entry => entry.id));
            entries.forEach(entry => applyEntry(entry, wasStoreAway));
            [...records.values()]
                .filter(record => !present.has(record.endpoint.id))
                .forEach(record => applyMissing(record, wasStoreAway));
        },
        listAll,
        listUsable: service => listAll(service).filter(record => !record.endpoint.isDraining && !record.isMisdirected),
        findEndpoint: id => records.get(id),
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

function isSameInstance(before: GatewayEndpoint, after: GatewayEndpoint): boolean {
    return (
        before.startedAtMs === after.startedAtMs &&
        before.service === after.service &&
        before.target.address === after.target.address &&
        before.target.port === after.target.port
    );
}

function computeDistance(settings: GatewaySettings, endpoint: GatewayEndpoint) {
    if (endpoint.failureDomain === settings.failureDomain) {
        return { roundTripMs: 0, penaltyMs: 0 };
    }
    const isSameRegion = settings.regions[endpoint.failureDomain] === settings.regions[settings.failureDomain];
    return isSameRegion
        ? { roundTripMs: SAME_REGION_RTT_MS, penaltyMs: SAME_REGION_PENALTY_MS }
        : { roundTripMs: OTHER_REGION_RTT_MS, penaltyMs: OTHER_REGION_PENALTY_MS };
}
