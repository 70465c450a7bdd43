/**
 * @module The settings of a gateway node, its configuration, and the endpoints of its services.
 */
import type { HttpTarget } from "../adapters/_lib/httpTarget";

/** Whether requests of a route may be executed more than once. */
export enum RouteKind {
    /** May be executed more than once. */
    Idempotent = "idempotent",
    /** Executed at most once for each attempt of a caller. */
    NonIdempotent = "non_idempotent",
    /** Answered by a stream of events; executed at most once unless the stream is resumable. */
    Streaming = "streaming",
}

/** A service that receives a share of a route's requests, in proportion to its weight. */
export interface RouteTarget {
    readonly service: string;
    readonly weight: number;
}

/** A route, which matches the requests for one host and path prefix. */
export interface GatewayRoute {
    readonly name: string;
    readonly host: string;
    /** Begins and ends with a slash. */
    readonly pathPrefix: string;
    readonly kind: RouteKind;
    /** Time after which a request fails, in milliseconds. */
    readonly timeoutMs: number;
    /** Latency objective for the response, or for the first event of a stream, in milliseconds. */
    readonly objectiveMs: number;
    /** 0 is the most urgent. */
    readonly priority: number;
    readonly targets: readonly RouteTarget[];
    /** Maximum number of endpoints that may execute one attempt of a caller. */
    readonly attemptsMax: number;
    /** True if no account key is needed. */
    readonly isAnonymous: boolean;
    /** True if a broken stream may be resumed at another endpoint. */
    readonly isResumable: boolean;
    /** Latency objective between two events of a stream, in milliseconds; 0 if there is none. */
    readonly gapTargetMs: number;
    /** Regions whose endpoints may get its requests; absent or empty: all. */
    readonly homeRegions?: readonly string[] | undefined;
    /** True if only its host and path prefix could be read: its requests are refused. */
    readonly isUnreadable?: boolean;
}

/** Properties of the engines of a service with model runners. */
export interface EngineTraits {
    /** Requests that one engine processes at once. */
    readonly slots: number;
}

/** Bounds and prices for the fleet of a service's endpoints. */
export interface FleetBounds {
    /** Minimum number of endpoints in one failure domain, on-demand and reclaimable together. */
    readonly perDomainMin: number;
    /** Maximum number of endpoints in one failure domain, on-demand and reclaimable together. */
    readonly perDomainMax: number;
    /** Seconds from the order until an endpoint serves. */
    readonly bootSeconds: number;
    /** Price of a reclaimable endpoint as a share of an on-demand one; `undefined` if there are no reclaimable ones. */
    readonly reclaimablePrice: number | undefined;
    /** Price of an on-demand endpoint per second, by failure domain. */
    readonly domainPrices: Readonly<Record<string, number>>;
}

/** A service that requests are routed to. */
export interface GatewayService {
    readonly name: string;
    /** Maximum number of connections to one endpoint, of all nodes together. */
    readonly connectionsMax: number;
    /** `undefined` if the configuration states none. */
    readonly engine: EngineTraits | undefined;
    /** `undefined` if this system doesn't scale the service. */
    readonly fleet: FleetBounds | undefined;
    /** Time for which an endpoint is cold after its start, in milliseconds; absent or 0 if it never is. */
    readonly coldStartMs?: number | undefined;
    /** Requests per second that a cold endpoint tolerates from all nodes together; absent or 0: no limit. */
    readonly coldPerSecond?: number | undefined;
}

/** A client account. */
export interface GatewayAccount {
    readonly name: string;
    /** Valid API keys. */
    readonly keys: readonly string[];
    /** Overrides the priority of the route; `undefined` if the account has none. */
    readonly priority: number | undefined;
    /** Quota per second, in tokens or requests; 0 means no limit. */
    readonly quotaPerSecond: number;
    /** Burst, which is added to the quota of a whole window. */
    readonly quotaBurst: number;
    /** True if the quota counts tokens, false if it counts requests. */
    readonly countsTokens: boolean;
    /** Tokens charged for a request that states no token counts. */
    readonly defaultTokens: number;
    /** Regions whose endpoints may get its requests; absent or empty: all. */
    readonly homeRegions?: readonly string[] | undefined;
}

/** Limits on what callers may send. */
export interface CallerLimits {
    readonly headerBytesMax: number;
    readonly bodyBytesMax: number;
    /** Time within which the whole header must arrive, in milliseconds. */
    readonly headerTimeoutMs: number;
    /** Time without data after which a caller's connection is closed, in milliseconds. */
    readonly idleTimeoutMs: number;
}

/** The configuration of a gateway. */
export interface GatewayConfiguration {
    readonly version: number;
    readonly routes: readonly GatewayRoute[];
    readonly services: readonly GatewayService[];
    /** `undefined` if requests need no key; where the list is empty, no key is valid. */
    readonly accounts: readonly GatewayAccount[] | undefined;
    readonly limits: CallerLimits;
    /** Number of routes, services and accounts that could not be read. */
    readonly skippedEntries: number;
}

/** An endpoint as the platform lists it. */
export interface GatewayEndpoint {
    /** Usually changes with each start of the endpoint. */
    readonly id: string;
    readonly service: string;
    readonly target: HttpTarget;
    readonly failureDomain: string;
    readonly version: string;
    readonly slots: number;
    /** True once the endpoint has announced its shutdown; it gets no new work. */
    readonly isDraining: boolean;
    /** True if its VM may be reclaimed. */
    readonly isReclaimable: boolean;
    /** Names of the models that are loaded; `undefined` if it names none, as a plain service does. */
    readonly loadedModels: readonly string[] | undefined;
    /** Time for which it stays slow after its start, in milliseconds, when the entry was written. */
    readonly coldForMs: number;
    /** True if the entry states `coldForMs`; without it, 0 stands for an unknown time. */
    readonly hasColdTime?: boolean | undefined;
    /** Epoch milliseconds of its start, which distinguish two starts with the same id; `undefined` if not reported. */
    readonly startedAtMs: number | undefined;
}

/** An operator's order to move the requests of a service to the endpoints of another version. */
export interface RolloutOrder {
    readonly service: string;
    /** The version to move to. */
    readonly target: string;
    /** Time within which the move must be completed or rolled back, in milliseconds. */
    readonly durationMs: number;
    /** Distinguishes the orders for a service; a later one has a greater revision. */
    readonly revision: number;
}

/** An operator's order to evacuate a failure domain, or its cancellation. */
export interface EvacuationChange {
    readonly failureDomain: string;
    readonly isEvacuated: boolean;
}

/** How far an ordered move is. Phases only advance; `Completed` is entered only once it is in the store. */
export enum RolloutPhase {
    /** The target gets a small share of the requests. */
    Trial = 0,
    /** All requests go to the target, shortly before the move is completed. */
    Shifting = 1,
    RolledBack = 2,
    Completed = 3,
}

/** Time limits and tolerances that the platform guarantees or requires. */
export interface GatewayBounds {
    /** Time after the removal of a key from which no request with that key may execute, in milliseconds. */
    readonly revokeMs: number;
    /** Grace period from SIGTERM to SIGKILL, in milliseconds. */
    readonly graceMs: number;
    /** Retries that all nodes may send to a service per window: `retryRatio` of its requests plus `retrySlack`. */
    readonly retryRatio: number;
    readonly retrySlack: number;
    readonly retryWindowMs: number;
    readonly quotaWindowMs: number;
    /** By how much all nodes together may exceed a quota per window: `quotaOverrun` of it plus `quotaSlack`. */
    readonly quotaOverrun: number;
    readonly quotaSlack: number;
    /** Time between two records of the usage of quotas in the store, in milliseconds; without it none are written or read. */
    readonly quotaRecordMs?: number | undefined;
    /** Requests that a version on trial may get: `exposureShare` of those to its service plus `exposureSlack`. */
    readonly exposureShare: number;
    readonly exposureSlack: number;
    /** Time from the operator's order to evacuate a failure domain until no request reaches it, in milliseconds. */
    readonly evacuateMs?: number | undefined;
    /** In no second may a cold endpoint get more requests than its rate times `coldOverrun` plus `coldSlack`. */
    readonly coldOverrun?: number | undefined;
    readonly coldSlack?: number | undefined;
    /** Duration of the lease for a duty, in milliseconds. */
    readonly leaseMs: number;
    /** Length of the window that a usage report covers, in milliseconds. */
    readonly usageWindowMs: number;
    /** Time from the end of a window until its usage report is due, in milliseconds. */
    readonly usageDueMs: number;
}

/** Duties, which are jobs that only one node at a time performs, by calls to the cloud API. */
export enum DutyKind {
    /** Report the usage of accounts. */
    Usage = "usage",
    /** Scale the fleets of services. */
    Fleet = "fleet",
}

/** Settings of a gateway node, which the platform provides. */
export interface GatewaySettings {
    readonly nodeName: string;
    readonly failureDomain: string;
    /** IP address of this node. */
    readonly address: string;
    /** Region of each failure domain. */
    readonly regions: Readonly<Record<string, string>>;
    /** Where the node listens for callers. */
    readonly callers: HttpTarget;
    /** Where the node listens for readiness probes. */
    readonly readiness: HttpTarget;
    /** First and last port for traffic between nodes. */
    readonly internalPorts: readonly [number, number];
    readonly store: HttpTarget;
    readonly cloud: HttpTarget | undefined;
    readonly duties: readonly DutyKind[];
    readonly bounds: GatewayBounds;
    /** Processor cores that the node may use, as a fraction. */
    readonly processorShare: number;
    /** Memory that the process may use, in bytes. */
    readonly memoryBytesMax: number;
    /** Maximum number of open file descriptors. */
    readonly descriptorsMax: number;
    /** True only at the first start of the whole system. */
    readonly isFirstStart: boolean;
    /** True if only the surplus of requests leaves the failure domain where endpoints report a pace; absent: false. */
    readonly hasSpillover?: boolean;
}
