/**
 * @module The routing task's interface for other tasks.
 */
import type { Result } from "neverthrow";
import type { Channel } from "../../base/csp";
import type { Failure } from "../../base/failure";
import type { Endpoint } from "../../model/endpoint";
import type { AttemptId, RequestContext } from "../../model/request";

/** The properties of an attempt that routing needs. */
export interface RouteQuery {
    readonly id: AttemptId;
    readonly context: RequestContext;
    readonly serviceName: string;
    /** The model API, or the first path segments of a service call. A fault may affect a single route only. */
    readonly route: string;
    /** Hashes of prompt prefixes of increasing length, shortest first; one per block of tokens. */
    readonly prefixHashes: readonly string[];
    readonly promptTokens: number;
    readonly maximumTokens: number;
    /** Endpoints at which earlier attempts of this request failed. */
    readonly excludedEndpointIds: readonly string[];
}

/** The endpoint chosen for an attempt. */
export interface RouteDecision {
    readonly endpoint: Endpoint;
    /** Estimated milliseconds until the first token. */
    readonly estimatedFirstTokenMs: number;
}

/** What a report says about an attempt. */
export enum AttemptReportKind {
    FirstToken = "first_token",
    Tokens = "tokens",
    Finished = "finished",
    Failed = "failed",
    Cancelled = "cancelled",
}

/** A report about an attempt, used for routing, endpoint health and version comparison. */
export interface AttemptReport {
    readonly kind: AttemptReportKind;
    readonly id: AttemptId;
    readonly endpointId: string;
    /** Milliseconds since the attempt was sent (`FirstToken`, `Finished`, `Failed`), otherwise 0. */
    readonly elapsedMs: number;
    /** Tokens received since the previous report. */
    readonly tokens: number;
    readonly failure?: Failure;
}

/** Notifies the owner of a running attempt that its endpoint is leaving or gone. */
export interface EndpointNotice {
    readonly endpointId: string;
    /** Monotonic milliseconds at which the endpoint will be gone (`Infinity`: unknown); absent if it is already gone. */
    readonly goneAtMs?: number;
}

/** Client of the routing task. */
export interface RoutingClient {
    /** Chooses an endpoint and counts the attempt as in progress there. Failures: `NoEndpoint`, `UnknownService`. */
    chooseEndpoint(query: RouteQuery): Promise<Result<RouteDecision, Failure>>;
    recordReport(report: AttemptReport): void;
    /** Returns a channel with notices about an endpoint. Call `release` to stop watching. */
    watchEndpoint(endpointId: string): { readonly notices: Channel<EndpointNotice>; release(): void };
}
