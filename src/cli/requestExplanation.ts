/**
 * @module Asks a gateway node where a request would go, over its internal listener.
 */
import { err, ok, type Result } from "neverthrow";
import { HttpStatus } from "../adapters/_lib/httpStatus";
import type { HttpTarget } from "../adapters/_lib/httpTarget";
import { parseAnswer } from "../adapters/_lib/parseAnswer";
import { LossReason, sendHttpCall } from "../adapters/_lib/sendHttpCall";
import { createFailure } from "../base/createFailure";
import { type Failure, FailureKind } from "../base/failure";
import { EXPLAIN_PATH, type Explanation, EXPLANATION_SCHEMA } from "../gateway/explain/explanation";
import { convertFailureBody } from "./_lib/convertFailureBody";

/** Short: a node computes its answer at once. */
const TIMEOUTS = { connectMs: 2_000, firstByteMs: 5_000, silenceMs: 5_000, wholeMs: 10_000 };
/**
 * No route can have this name, which is reserved. If the address is that of the callers' listener by mistake, the
 * question matches no route there, and goes to no endpoint.
 */
const HOST_HEADER = "internal.invalid";

/**
 * Asks a node. Sends no key.
 *
 * @param target - Address and port of the node's internal listener
 * @param query - The question, as `encodeExplainQuery` gives it
 * @param timeouts - Bounds of the waits; default: a few seconds each
 * @returns The explanation; `EndpointFailed` or `EndpointSilent` if the node doesn't answer, else the node's failure
 * @example
 * const explanation = await requestExplanation({ address: "10.0.0.4", port: 7_615 }, "path=%2Fa%2Fb");
 */
export async function requestExplanation(
    target: HttpTarget,
    query: string,
    timeouts: Partial<typeof TIMEOUTS> = {},
): Promise<Result<Explanation, Failure>> {
    const outcome = await sendHttpCall(target, {
        method: "GET",
        path: `${EXPLAIN_PATH}?${query}`,
        headers: { host: HOST_HEADER },
        omitsRequestId: true,
        timeouts: { ...TIMEOUTS, ...timeouts },
    });
    const node = `${target.address}:${target.port}`;
    if (!outcome.isAnswered) {
        const kind = outcome.reason === LossReason.Silent ? FailureKind.EndpointSilent : FailureKind.EndpointFailed;
        return err(createFailure(kind, `${node}: ${outcome.message}`));
    }
    if (outcome.status !== HttpStatus.Ok) {
        const failure = convertFailureBody(outcome.status, outcome.body);
        return err(
            failure ?? createFailure(FailureKind.EndpointFailed, `${node}: HTTP ${outcome.status} without JSON.`),
        );
    }
    const explanation = parseAnswer(outcome.body, EXPLANATION_SCHEMA);
    return explanation === undefined
        ? err(
              createFailure(
                  FailureKind.EndpointFailed,
                  `${node}: the answer is no explanation; another listener, or a node of another version.`,
              ),
          )
        : ok(explanation);
}
