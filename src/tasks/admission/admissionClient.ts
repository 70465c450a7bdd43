/**
 * @module How other tasks talk to the admission task.
 */
import type { Result } from "neverthrow";
import type { Failure } from "../../base/failure";
import type { RequestContext } from "../../model/request";

/** What admission must know of a request. */
export interface AdmissionRequest {
    readonly context: RequestContext;
    readonly serviceName: string;
    readonly promptTokens: number;
    readonly maximumTokens: number;
}

/** Handle of the admission task. */
export interface AdmissionClient {
    /**
     * Waits until the request may start. Refusals: `Overloaded`, `TargetUnreachable`, `CostCeilingExceeded`,
     * `ShuttingDown`, `Cancelled`; each with `execution: not_run`.
     */
    requestAdmission(request: AdmissionRequest): Promise<Result<void, Failure>>;
    /** Gives up a waiting or admitted request. */
    cancelAdmission(requestId: string): void;
    /** Ends an admitted request and charges what it used. */
    finishRequest(requestId: string, usedTokens: number): void;
}
