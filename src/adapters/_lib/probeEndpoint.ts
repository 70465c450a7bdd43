/**
 * @module Signs of life of endpoints.
 */
import { err, ok, type Result } from "neverthrow";
import type { Failure } from "../../base/failure";
import { PROBE_TIMEOUT_MS } from "../constants";
import { sendEndpointCall } from "./sendEndpointCall";
import { convertRefusal } from "./convertRefusal";
import type { HttpTarget } from "./httpTarget";
import { HttpStatus } from "./httpStatus";

/**
 * Asks an endpoint for a sign of life on a new connection, since a kept one can be dead while new ones work.
 *
 * @param target - The endpoint
 * @param timeoutMs - Bound of each wait
 * @returns Nothing, or why there was no sign
 * @example
 * const probed = await probeEndpoint(endpoint);
 */
export async function probeEndpoint(
    target: HttpTarget,
    timeoutMs: number = PROBE_TIMEOUT_MS,
): Promise<Result<void, Failure>> {
    const timeouts = { connectMs: timeoutMs, firstByteMs: timeoutMs, silenceMs: timeoutMs };
    const answer = await sendEndpointCall(target, { method: "GET", path: "/health", timeouts });
    return answer.andThen(value => (value.status === HttpStatus.Ok ? ok(undefined) : err(convertRefusal(value))));
}
