/**
 * @module How commands talk to a node.
 */
import type { Result } from "neverthrow";
import type { Failure } from "../base/failure";

/** A client of the operators' listener. Failures of the connection are `EndpointFailed` and `EndpointSilent`. */
export interface OperatorClient {
    /** Asks; `path` begins after the common prefix. */
    readQuery<T>(path: string): Promise<Result<T, Failure>>;
    /** Changes. */
    sendCommand<T>(method: "POST" | "PUT" | "DELETE", path: string, body?: unknown): Promise<Result<T, Failure>>;
}
