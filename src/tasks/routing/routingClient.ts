/**
 * @module How other tasks talk to the routing task.
 */
import type { Result } from "neverthrow";
import type { Channel } from "../../base/csp";
import type { Failure } from "../../base/failure";
import type { Endpoint } from "../../model/endpoint";
import type { AttemptId, RequestContext } from "../../model/request";

/** What routing must know of a request. */
export interface RouteQuery {
    readonly id: AttemptId;
    readonly context: RequestContext;
    readonly serviceName: string;
    /** The model API, or the first path segments of a service call: faults may show on one route only. */
    readonly route: string;
    /** Hashes of growing prompt prefixes, shortest first; one per block of tokens. */
    readonly prefixHashes: readonly string[];
    readonly promptTokens: number;
    readonly maximumTokens: number;
    /** Endpoints that earlier attempts of this request failed at. */
    readonly excludedEndpointIds: readonly string[];
}

/** A chosen endpoint. */
export interface Route {
    readonly endpoint: Endpoint;
    /** Estimated milliseconds to the first token. */
    readonly estimatedFirstTokenMs: number;
}

/** What became of an attempt. */
export enum AttemptReportKind {
    FirstToken = "first_token",
    Tokens = "tokens",
    Finished = "finished",
    Failed = "failed",
    Cancelled = "cancelled",
}

/** A report about an attempt, for routing, health and version comparison. */
export interface AttemptReport {
    readonly kind: AttemptReportKind;
    readonly id: AttemptId;
    readonly endpointId: string;
    /** Milliseconds since the attempt was sent (`FirstToken`, `Finished`, `Failed`), else 0. */
    readonly elapsedMs: number;
    /** Tokens received since the last report. */
    readonly tokens: number;
    readonly failure?: Failure;
}

/** Told to the holder of an attempt while it runs. */
export interface EndpointNotice {
    readonly endpointId: string;
    /** Monotonic milliseconds at which the endpoint will be gone; absent if it is gone already. */
    readonly goneAtMs?: number;
}

/** Handle of the routing task. */
export interface RoutingClient {
    /** Chooses an endpoint and counts the attempt against it. Failures: `NoEndpoint`, `UnknownService`. */
    chooseEndpoint(query: RouteQuery): Promise<Result<Route, Failure>>;
    recordReport(report: AttemptReport): void;
    /** Gives a channel with notices about an endpoint, until `release` is called. */
    watchEndpoint(endpointId: string): { readonly notices: Channel<EndpointNotice>; release(): void };
}
