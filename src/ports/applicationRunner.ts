/**
 * @module An application runner, as this project needs it.
 */
import type { Result } from "neverthrow";
import type { Failure } from "../base/failure";
import type { Endpoint, EndpointLoad } from "../model/endpoint";
import type { AttemptId, ServiceCall } from "../model/request";

/** The answer of an application runner. */
export interface ServiceResponse {
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Buffer;
}

/**
 * Application runners. A failure's `execution` is `not_run` only if no byte of the call can have left this process or
 * the runner said that it did not execute it.
 */
export interface ApplicationRunnerPort {
    callService(
        endpoint: Endpoint,
        id: AttemptId,
        call: ServiceCall,
        options: {
            readonly timeoutMs: number;
            readonly cancelled: AbortSignal;
            /** Uses no kept connection, which may be dead: for calls that may not be repeated (default false). */
            readonly usesNewConnection?: boolean;
        },
    ): Promise<Result<ServiceResponse, Failure>>;
    readLoad(endpoint: Endpoint): Promise<Result<EndpointLoad, Failure>>;
    /** Asks for a sign of life on a new connection. */
    probeRunner(endpoint: Endpoint): Promise<Result<void, Failure>>;
}
