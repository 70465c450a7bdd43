/**
 * @module Runs one attempt at an endpoint for tests, with a caller on loopback that receives what is relayed.
 */
import http from "node:http";
import type { AddressInfo } from "node:net";
import { PLATFORM_CODEC } from "../../../platform/forwardingCodec";
import type { HttpTarget } from "../../adapters/_lib/httpTarget";
import { createSystemClock } from "../../base/createSystemClock";
import { createMemoryBudget } from "../../base/createMemoryBudget";
import { createStreamRelay } from "../forwarding/createStreamRelay";
import { createEndpointRecord, type EndpointRecord } from "../endpoints/endpointRecord";
import { type AttemptOptions, type AttemptResult, sendAttempt } from "../forwarding/sendAttempt";
import { makeEndpoint } from "./makeEndpoint";

/** The result of an attempt, and what the caller received. */
export interface ObservedAttempt {
    readonly result: AttemptResult;
    /** The part of a stream that the caller received. */
    readonly received: string;
    /** True if the answer to the caller ended regularly. */
    readonly isComplete: boolean;
}

/** Creates the record of an endpoint on loopback. */
export function makeEndpointRecord(target: HttpTarget, id = "i-1"): EndpointRecord {
    return createEndpointRecord(makeEndpoint(id, { target }), { roundTripMs: 0, penaltyMs: 0 }, createSystemClock());
}

/**
 * Sends a request with the id `attempt-1` to an endpoint.
 *
 * @param record - The endpoint
 * @param options - Options to override
 * @param keepsConnections - True if the caller closes the record's connections itself; default: false
 * @returns The result on both sides
 * @example
 * const { result } = await runAttempt(makeEndpointRecord(endpoint));
 */
export async function runAttempt(
    record: EndpointRecord,
    options: Partial<AttemptOptions> = {},
    keepsConnections = false,
): Promise<ObservedAttempt> {
    let resolveResult: (result: AttemptResult) => void;
    const whenResult = new Promise<AttemptResult>(resolve => {
        resolveResult = resolve;
    });
    const server = http.createServer((_request, response) => {
        void sendAttempt({
            record,
            method: "GET",
            path: "/a/b",
            headers: [
                ["Host", "news.example"],
                ["Redwinglift-Attempt-Id", "attempt-1"],
            ],
            body: undefined,
            requestId: "attempt-1",
            codec: PLATFORM_CODEC,
            relay: createStreamRelay(response),
            maxIdleMs: undefined,
            answerTimeoutMs: undefined,
            eventTimeoutMs: undefined,
            canGiveUp: () => true,
            answerMemory: createMemoryBudget(Number.POSITIVE_INFINITY).openLease(),
            ended: new AbortController().signal,
            handleAnswerHead: () => undefined,
            handleFirstPart: () => undefined,
            reportFailure: () => undefined,
            ...options,
        }).then(result => {
            resolveResult(result);
            if (!response.writableEnded) {
                response.destroy();
            }
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const port = (server.address() as AddressInfo).port;
    const caller = new Promise<{ received: string; isComplete: boolean }>(resolve => {
        const request = http.get({ host: "127.0.0.1", port, agent: false }, response => {
            let received = "";
            response.on("data", chunk => (received += String(chunk)));
            response.on("error", () => undefined);
            response.on("close", () => resolve({ received, isComplete: response.complete }));
        });
        request.on("error", () => resolve({ received: "", isComplete: false }));
    });
    const [result, observed] = await Promise.all([whenResult, caller]);
    server.close();
    if (!keepsConnections) {
        record.connections.dispose();
    }
    return { result, ...observed };
}
