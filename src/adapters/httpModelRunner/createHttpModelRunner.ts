/**
 * @module Model runners over HTTP: OpenAI's format for generations, a few JSON calls for the rest.
 */
import { z } from "zod";
import type { Disposable } from "../../base/disposableStore";
import type { Endpoint } from "../../model/endpoint";
import type { AttemptId } from "../../model/request";
import type { ModelRunnerPort } from "../../ports/modelRunner";
import { requestEndpointJson } from "../_lib/requestEndpointJson";
import { sendHttpCall, type CallTimeouts } from "../_lib/sendHttpCall";
import { createConnectionPool } from "../_lib/createConnectionPool";
import { probeEndpoint } from "../_lib/probeEndpoint";
import { readEndpointLoad } from "../_lib/readEndpointLoad";
import { PROBE_TIMEOUT_MS, TRANSFER_TIMEOUT_MS } from "../constants";
import { openHttpGeneration } from "./openHttpGeneration";

/** Settings of the adapter. */
export interface HttpModelRunnerOptions {
    readonly timeouts?: CallTimeouts;
    /** Most connections open to one runner, one for each stream. */
    readonly connectionsPerHost?: number;
}

const eventsSchema = z.object({
    events: z.array(z.object({ sequence: z.number(), prefixHash: z.string(), isEvicted: z.boolean() })),
});
const stateSchema = z.object({
    version: z.string(),
    adapters: z.array(z.string()),
    role: z.string(),
    epoch: z.number().optional(),
});
const exportSchema = z.object({ cache_id: z.string(), bytes: z.number(), tokens: z.number() });
const acceptedSchema = z.unknown();

/**
 * Creates the adapter to model runners.
 *
 * @param options - Bounds of the waits
 * @returns The adapter; disposing it closes all its connections
 * @example
 * const runners = createHttpModelRunner();
 * const generation = runners.openGeneration(endpoint, { id, chat, priority: 0, resumedTexts: [] });
 */
export function createHttpModelRunner(options: HttpModelRunnerOptions = {}): ModelRunnerPort & Disposable {
    const { timeouts } = options;
    const pool = createConnectionPool(options);
    const readJson = <T>(endpoint: Endpoint, path: string, schema: z.ZodType<T>) =>
        requestEndpointJson(endpoint, { method: "GET", path, timeouts }, schema, pool);
    const sendJson = <T>(endpoint: Endpoint, path: string, value: object, schema: z.ZodType<T>) =>
        requestEndpointJson(endpoint, { method: "POST", path, body: formatJson(value), timeouts }, schema, pool);

    return {
        openGeneration: (endpoint, request) =>
            openHttpGeneration(endpoint, request, {
                pool,
                timeouts,
                sendCancel: () => sendCancel(endpoint, request.id),
            }),
        readLoad: endpoint => readEndpointLoad(endpoint, pool, timeouts),
        listCacheEvents: async (endpoint, afterSequence) =>
            (await readJson(endpoint, `/redwinglift/cache-events?after=${afterSequence}`, eventsSchema)).map(
                value => value.events,
            ),
        probeRunner: endpoint => probeEndpoint(endpoint, timeouts?.firstByteMs),
        sendOrder: async (endpoint, order) =>
            (await sendJson(endpoint, "/redwinglift/orders", order, acceptedSchema)).map(() => undefined),
        readState: async endpoint =>
            (await readJson(endpoint, "/redwinglift/state", stateSchema)).map(({ epoch, ...state }) => ({
                ...state,
                epoch,
            })),
        exportCache: async (endpoint, id) =>
            (await sendJson(endpoint, "/redwinglift/cache/export", formatAttempt(id), exportSchema)).map(value => ({
                cacheId: value.cache_id,
                bytes: value.bytes,
                tokens: value.tokens,
            })),
        importCache: async (endpoint, from, cacheId) => {
            const body = formatJson({ address: from.address, port: from.port, cache_id: cacheId });
            const path = "/redwinglift/cache/import";
            const waits = { ...timeouts, firstByteMs: TRANSFER_TIMEOUT_MS };
            const call = { method: "POST", path, body, timeouts: waits };
            return (await requestEndpointJson(endpoint, call, acceptedSchema, pool)).map(() => undefined);
        },
        dispose: pool.dispose,
    };
}

function sendCancel(endpoint: Endpoint, id: AttemptId): void {
    const waits = { connectMs: PROBE_TIMEOUT_MS, firstByteMs: PROBE_TIMEOUT_MS };
    const body = formatJson(formatAttempt(id));
    void sendHttpCall(endpoint, { method: "POST", path: "/redwinglift/cancel", body, timeouts: waits });
}

function formatAttempt(id: AttemptId): object {
    return { request_id: id.requestId, attempt: id.attempt };
}

function formatJson(value: object): Buffer {
    return Buffer.from(JSON.stringify(value));
}
