/**
 * @module One generation over HTTP: a request, a stream of server-sent events, every wait bounded.
 */
import http from "node:http";
import { createParser } from "eventsource-parser";
import { createFailure } from "../../base/createFailure";
import { Execution, FailureKind } from "../../base/failure";
import type { Endpoint } from "../../model/endpoint";
import { FinishReason, GenerationEventKind, type Usage } from "../../model/request";
import type { Generation, GenerationRequest } from "../../ports/modelRunner";
import type { CallTimeouts } from "../_lib/sendHttpCall";
import type { ConnectionPool } from "../_lib/createConnectionPool";
import { trackSentBytes } from "../_lib/trackSentBytes";
import {
    CONNECT_TIMEOUT_MS,
    FIRST_BYTE_TIMEOUT_MS,
    LARGEST_STREAM_EVENT_BYTES,
    SILENCE_TIMEOUT_MS,
} from "../constants";
import { createEventPipe } from "./createEventPipe";
import { formatGeneration } from "./formatGeneration";
import { parseChunk } from "./parseChunk";
import { readRefusal } from "./readRefusal";

/** What a generation needs. */
export interface HttpGenerationOptions {
    readonly pool: ConnectionPool;
    readonly timeouts?: CallTimeouts;
    /** Tells the engine on another connection to stop; called when this connection ended before the answer did. */
    readonly sendCancel: () => void;
}

const END_OF_STREAM = "[DONE]";
const OK_STATUS = 200;
const NO_USAGE: Usage = { promptTokens: 0, outputTokens: 0, cachedTokens: 0 };

/**
 * Opens a generation.
 *
 * @param endpoint - The model runner
 * @param request - What to generate
 * @param options - Connections, bounds and the cancel order
 * @returns The generation; every failure arrives as an event
 * @example
 * const generation = openHttpGeneration(endpoint, request, { pool, sendCancel });
 */
export function openHttpGeneration(
    endpoint: Endpoint,
    request: GenerationRequest,
    options: HttpGenerationOptions,
): Generation {
    const { id } = request;
    const { timeouts = {}, pool } = options;
    const silenceMs = timeouts.silenceMs ?? SILENCE_TIMEOUT_MS;
    const body = formatGeneration(request);
    const callId = `${id.requestId}/${id.attempt}`;
    let response: http.IncomingMessage | undefined;
    let timer: NodeJS.Timeout | undefined;
    let nextOffset = request.resumedTexts.length;
    let finish: { readonly reason: FinishReason; readonly usage: Usage } | undefined;

    const clientRequest = http.request({
        host: endpoint.address,
        port: endpoint.port,
        method: "POST",
        path: "/v1/chat/completions",
        agent: pool.agent,
        headers: { "content-type": "application/json", "content-length": body.length, "x-request-id": callId },
    });
    const boundWait = (delayMs: number, waitedFor: string) => {
        clearTimeout(timer);
        timer = setTimeout(
            () => failWith(FailureKind.EndpointSilent, `The engine sent no ${waitedFor} for ${delayMs} ms.`),
            delayMs,
        );
    };
    const pipe = createEventPipe(isBlocked => {
        if (isBlocked) {
            clearTimeout(timer);
            response?.pause();
        } else {
            boundWait(silenceMs, "event");
            response?.resume();
        }
    });
    const sent = trackSentBytes(clientRequest, () =>
        boundWait(timeouts.firstByteMs ?? FIRST_BYTE_TIMEOUT_MS, "answer"),
    );

    const failWith = (kind: FailureKind, message: string, execution?: Execution, details?: Record<string, unknown>) => {
        if (pipe.isEnded) {
            return;
        }
        clearTimeout(timer);
        const known = execution ?? (sent.hasSentBytes() ? Execution.Unknown : Execution.NotRun);
        const failure = createFailure(kind, message, { execution: known, details });
        pipe.endWith({ kind: GenerationEventKind.Failed, id, failure });
        clientRequest.destroy();
        if (kind === FailureKind.EndpointSilent) {
            pool.dropIdleConnections(endpoint);
        }
        if (sent.hasSentBytes() && execution === undefined) {
            options.sendCancel();
        }
    };
    const failBroken = (error: NodeJS.ErrnoException) =>
        failWith(FailureKind.EndpointFailed, `The connection failed: ${error.code ?? error.message}.`);

    const handleData = (text: string) => {
        if (text === END_OF_STREAM) {
            endRegularly();
            return;
        }
        const chunk = parseChunk(text, nextOffset);
        if (chunk === undefined) {
            failWith(FailureKind.EndpointFailed, "The engine sent a chunk that can't be read.");
            return;
        }
        const chunkId = chunk.id ?? id;
        if (chunk.batch !== undefined) {
            nextOffset = chunk.batch.offset + chunk.batch.texts.length;
            pipe.pushEvent({ kind: GenerationEventKind.Tokens, id: chunkId, batch: chunk.batch });
        }
        const isOwn = chunkId.requestId === id.requestId && chunkId.attempt === id.attempt;
        if (isOwn && chunk.finishReason !== undefined) {
            finish = { reason: convertFinishReason(chunk.finishReason), usage: finish?.usage ?? NO_USAGE };
        }
        if (isOwn && chunk.usage !== undefined && finish !== undefined) {
            finish = { ...finish, usage: chunk.usage };
        }
    };
    const endRegularly = () => {
        if (finish === undefined) {
            failWith(FailureKind.EndpointFailed, "The stream ended before the answer did.");
            return;
        }
        clearTimeout(timer);
        pipe.endWith({ kind: GenerationEventKind.Finished, id, ...finish });
    };
    const readStream = (stream: http.IncomingMessage) => {
        const parser = createParser({
            maxBufferSize: LARGEST_STREAM_EVENT_BYTES,
            onEvent: event => handleData(event.data),
            onError: error => {
                if (error.type === "max-buffer-size-exceeded") {
                    failWith(FailureKind.EndpointFailed, "The engine sent an event that is too large.");
                }
            },
        });
        boundWait(silenceMs, "event");
        stream.setEncoding("utf8");
        stream.on("data", (text: string) => {
            if (pipe.isEnded) {
                return;
            }
            boundWait(silenceMs, "event");
            parser.feed(text);
        });
        stream.on("end", () => failWith(FailureKind.EndpointFailed, "The stream ended before the answer did."));
        stream.on("error", failBroken);
    };
    boundWait(timeouts.connectMs ?? CONNECT_TIMEOUT_MS, "connection");
    clientRequest.on("error", failBroken);
    clientRequest.on("response", stream => {
        response = stream;
        if (stream.statusCode === OK_STATUS) {
            readStream(stream);
            return;
        }
        boundWait(silenceMs, "refusal");
        void readRefusal(stream, callId).then(refusal =>
            failWith(refusal.kind, refusal.message, refusal.execution, refusal.details),
        );
    });
    clientRequest.end(body);
    return {
        events: pipe.events,
        hasSentBytes: sent.hasSentBytes,
        cancel: () => failWith(FailureKind.Cancelled, "The generation was cancelled."),
    };
}

function convertFinishReason(reason: string): FinishReason {
    return reason === "length" ? FinishReason.Length : FinishReason.Stop;
}
