/**
 * @module Port to application runners.
 */
import type { Result } from "neverthrow";
import type { Failure } from "../base/failure";
import type { Endpoint, EndpointLoad } from "../model/endpoint";
import type { AttemptId, ServiceCall } from "../model/request";

/** The response of an application runner. */
export interface ServiceResponse {
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Buffer;
}

/**
 * Calls application runners. A failure's `execution` is `not_run` only if no byte of the call can have left this
 * process, or if the runner stated that it did not execute the call.
 */
export interface ApplicationRunnerPort {
    /** Calls the service at an endpoint. */
    callService(
        endpoint: Endpoint,
        id: AttemptId,
        call: ServiceCall,
        options: {
            readonly timeoutMs: number;
            readonly cancelled: AbortSignal;
            /**
             * Opens a new connection instead of reusing one that may be dead, for calls that must not be repeated
             * (default false).
             */
            readonly usesNewConnection?: boolean;
        },
    ): Promise<Result<ServiceResponse, Failure>>;
    /** Reads the load that the endpoint reports. */
    readLoad(endpoint: Endpoint): Promise<Result<EndpointLoad, Failure>>;
    /** Checks on a new connection that the runner responds. */
    probeRunner(endpoint: Endpoint): Promise<Result<void, Failure>>;
}
