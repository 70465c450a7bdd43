/**
 * @module Application runners over HTTP.
 */
import { err, ok } from "neverthrow";
import { createFailure } from "../../base/createFailure";
import type { Disposable } from "../../base/disposableStore";
import { Execution, FailureKind } from "../../base/failure";
import type { ApplicationRunnerPort } from "../../ports/applicationRunner";
import { sendEndpointCall, type EndpointAnswer } from "../_lib/sendEndpointCall";
import type { CallTimeouts } from "../_lib/sendHttpCall";
import { convertRefusal } from "../_lib/convertRefusal";
import { createConnectionPool } from "../_lib/createConnectionPool";
import { probeEndpoint } from "../_lib/probeEndpoint";
import { readEndpointLoad } from "../_lib/readEndpointLoad";

/** Settings of the adapter. */
export interface HttpApplicationRunnerOptions {
    readonly timeouts?: CallTimeouts;
    /** Most connections open to one runner, one for each call. */
    readonly connectionsPerHost?: number;
}

const REQUEST_ID_HEADER = "redwinglift-request-id";
const ATTEMPT_HEADER = "redwinglift-attempt";
const HOP_HEADERS = new Set(["connection", "keep-alive", "transfer-encoding", "upgrade", "te", "trailer", "host"]);

/**
 * Creates the adapter to application runners. A call carries its identity in the headers `redwinglift-request-id` and
 * `redwinglift-attempt`; an answer that carries another identity is discarded and the call's outcome is unknown.
 *
 * @param options - Bounds of the waits; the wait for the answer of a call is the call's own timeout
 * @returns The adapter; disposing it closes all its connections
 * @example
 * const runners = createHttpApplicationRunner();
 * const answer = await runners.callService(endpoint, id, call, { timeoutMs: 2_000, cancelled });
 */
export function createHttpApplicationRunner(
    options: HttpApplicationRunnerOptions = {},
): ApplicationRunnerPort & Disposable {
    const { timeouts } = options;
    const pool = createConnectionPool(options);
    return {
        callService: async (endpoint, id, call, { timeoutMs, cancelled, usesNewConnection }) => {
            const headers = {
                ...filterHeaders(call.headers),
                [REQUEST_ID_HEADER]: id.requestId,
                [ATTEMPT_HEADER]: String(id.attempt),
            };
            const answer = await sendEndpointCall(
                endpoint,
                {
                    method: call.method,
                    path: call.path,
                    headers,
                    body: call.body,
                    timeouts: { ...timeouts, firstByteMs: timeoutMs },
                    cancelled,
                },
                usesNewConnection === true ? undefined : pool,
            );
            return answer.andThen(value => {
                if (!isOwnAnswer(value, id.requestId, String(id.attempt))) {
                    const message = "The endpoint sent the answer of another call.";
                    return err(createFailure(FailureKind.EndpointFailed, message, { execution: Execution.Unknown }));
                }
                const refusal =
                    value.headers["redwinglift-execution"] === undefined ? undefined : convertRefusal(value);
                return refusal === undefined
                    ? ok({ status: value.status, headers: filterHeaders(value.headers), body: value.body })
                    : err(refusal);
            });
        },
        readLoad: endpoint => readEndpointLoad(endpoint, pool, timeouts),
        probeRunner: endpoint => probeEndpoint(endpoint, timeouts?.firstByteMs),
        dispose: pool.dispose,
    };
}

function isOwnAnswer(answer: EndpointAnswer, requestId: string, attempt: string): boolean {
    const answeredId = answer.headers[REQUEST_ID_HEADER];
    const answeredAttempt = answer.headers[ATTEMPT_HEADER];
    return (
        (answeredId === undefined || answeredId === requestId) &&
        (answeredAttempt === undefined || answeredAttempt === attempt)
    );
}

function filterHeaders(headers: Readonly<Record<string, string>>): Readonly<Record<string, string>> {
    return Object.fromEntries(Object.entries(headers).filter(([name]) => !HOP_HEADERS.has(name.toLowerCase())));
}
