/**
 * @module The interface of the admission task to other tasks.
 */
import type { Result } from "neverthrow";
import type { Failure } from "../../base/failure";
import type { RequestContext } from "../../model/request";

/** A request to admit. */
export interface AdmissionRequest {
    readonly context: RequestContext;
    readonly serviceName: string;
    readonly promptTokens: number;
    /** Most tokens that may be generated. */
    readonly maximumTokens: number;
}

/** Handle of the admission task. */
export interface AdmissionClient {
    /**
     * Resolves once the request may start or is refused. Failures: `UnknownClass`, `Internal`, `Overloaded`,
     * `TargetUnreachable`, `CostCeilingExceeded`, `ShuttingDown`, `Cancelled`; each with `execution: not_run`.
     */
    requestAdmission(request: AdmissionRequest): Promise<Result<void, Failure>>;
    /** Cancels a waiting or admitted request. */
    cancelAdmission(requestId: string): void;
    /** Ends an admitted request and charges the tokens it used. */
    finishRequest(requestId: string, usedTokens: number): void;
}
