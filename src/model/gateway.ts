/**
 * @module What a gateway node is told: its settings, the configuration in force and the endpoints of its services.
 */
import type { HttpTarget } from "../adapters/_lib/httpTarget";

/** How requests of a route may be repeated. */
export enum RouteKind {
    /** May be executed more than once. */
    Idempotent = "idempotent",
    /** At most once for each attempt of a caller. */
    NonIdempotent = "non_idempotent",
    /** Answered by a series of events; at most once unless it can be resumed. */
    Streaming = "streaming",
}

/** A service that a share of a route's requests goes to. */
export interface RouteTarget {
    readonly service: string;
    readonly weight: number;
}

/** Requests for one host and path prefix. */
export interface GatewayRoute {
    readonly name: string;
    readonly host: string;
    /** Begins and ends with a slash. */
    readonly pathPrefix: string;
    readonly kind: RouteKind;
    /** Longest time that a request is kept waiting, in milliseconds. */
    readonly timeoutMs: number;
    /** Time within which an answer is on time, in milliseconds; for streams to the first event. */
    readonly objectiveMs: number;
    /** 0 is the most urgent. */
    readonly priority: number;
    readonly targets: readonly RouteTarget[];
    /** Most endpoints that may execute one attempt of a caller. */
    readonly attemptsMax: number;
    /** True if no account key is needed. */
    readonly isAnonymous: boolean;
    /** True if a stream may be resumed at another endpoint. */
    readonly isResumable: boolean;
    /** Longest pause between two events that is on time, in milliseconds; 0 where there is none. */
    readonly gapTargetMs: number;
}

/** What is known of the engines of a service of model runners. */
export interface EngineTraits {
    /** Requests that one engine processes at once. */
    readonly slots: number;
}

/** Within which bounds a service's endpoints are ordered. */
export interface FleetBounds {
    /** Fewest and most endpoints in one failure domain, of both kinds together. */
    readonly perDomainMin: number;
    readonly perDomainMax: number;
    /** Seconds from the order until an endpoint serves. */
    readonly bootSeconds: number;
    /** Price of a reclaimable endpoint as a share of an on-demand one; absent where there are none. */
    readonly reclaimablePrice: number | undefined;
    /** Price of an on-demand endpoint for each second, by failure domain. */
    readonly domainPrices: Readonly<Record<string, number>>;
}

/** A service. */
export interface GatewayService {
    readonly name: string;
    /** Most connections to one endpoint, of all nodes together. */
    readonly connectionsMax: number;
    readonly engine: EngineTraits | undefined;
    readonly fleet: FleetBounds | undefined;
}

/** A client account. */
export interface GatewayAccount {
    readonly name: string;
    readonly keys: readonly string[];
    /** Goes before the route's priority; absent where the account has none. */
    readonly priority: number | undefined;
    /** Quota for each second, and its burst; 0 means no limit. */
    readonly quotaPerSecond: number;
    readonly quotaBurst: number;
    /** True if the quota counts tokens, false if it counts requests. */
    readonly countsTokens: boolean;
    /** What a request that states no token counts is charged, in tokens. */
    readonly defaultTokens: number;
}

/** Limits on what callers may send. */
export interface CallerLimits {
    readonly headerBytesMax: number;
    readonly bodyBytesMax: number;
    readonly headerTimeoutMs: number;
    readonly idleTimeoutMs: number;
}

/** The configuration of a gateway. */
export interface GatewayConfiguration {
    readonly version: number;
    readonly routes: readonly GatewayRoute[];
    readonly services: readonly GatewayService[];
    readonly accounts: readonly GatewayAccount[];
    readonly limits: CallerLimits;
}

/** An endpoint as the platform lists it. */
export interface GatewayEndpoint {
    /** Changes with each start of an endpoint as a rule. */
    readonly id: string;
    readonly service: string;
    readonly target: HttpTarget;
    readonly failureDomain: string;
    readonly version: string;
    readonly slots: number;
    /** True once it has announced that it leaves; it gets no new work. */
    readonly isDraining: boolean;
    /** True if its VM may be reclaimed. */
    readonly isReclaimable: boolean;
    /** Unix milliseconds of its start; tells two starts with one id apart. Absent where it isn't told. */
    readonly startedAtMs: number | undefined;
}

/** Bounds that the platform promises or asks for. */
export interface GatewayBounds {
    /** Time after a key's removal by which no request of it may execute, in milliseconds. */
    readonly revokeMs: number;
    /** Time from SIGTERM to SIGKILL, in milliseconds. */
    readonly graceMs: number;
    /** Extra arrivals that retries may cause at a service in the window: a share of its requests and a constant. */
    readonly retryRatio: number;
    readonly retrySlack: number;
    readonly retryWindowMs: number;
    readonly quotaWindowMs: number;
    /** By how much all nodes together may exceed a quota in a window: a share of it, and a constant beside. */
    readonly quotaOverrun: number;
    readonly quotaSlack: number;
    /** Length of a duty lease, in milliseconds. */
    readonly leaseMs: number;
    readonly usageWindowMs: number;
    /** Time from a window's end until its report is due, in milliseconds. */
    readonly usageDueMs: number;
}

/** Duties that one node at a time carries out against the cloud. */
export enum DutyKind {
    Usage = "usage",
    Fleet = "fleet",
}

/** Settings of a gateway node, as the platform hands them out. */
export interface GatewaySettings {
    readonly nodeName: string;
    readonly failureDomain: string;
    readonly address: string;
    /** Region of each failure domain. */
    readonly regions: Readonly<Record<string, string>>;
    readonly callers: HttpTarget;
    readonly readiness: HttpTarget;
    /** Ports between nodes: first and last. */
    readonly internalPorts: readonly [number, number];
    readonly store: HttpTarget;
    readonly cloud: HttpTarget | undefined;
    readonly duties: readonly DutyKind[];
    readonly bounds: GatewayBounds;
    readonly descriptorsMax: number;
    /** True only if the whole system starts for the first time. */
    readonly isFirstStart: boolean;
}
