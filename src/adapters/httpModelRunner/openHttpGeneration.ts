/**
 * @module One generation over HTTP: a request, a stream of server-sent events, every wait bounded.
 */
import http from "node:http";
import { createFailure } from "../../base/createFailure";
import { Execution, type Failure, FailureKind } from "../../base/failure";
import type { Endpoint } from "../../model/endpoint";
import { GenerationEventKind } from "../../model/request";
import type { Generation, GenerationRequest } from "../../ports/modelRunner";
import type { ConnectionPool } from "../_lib/createConnectionPool";
import { createWaitBound } from "../_lib/createWaitBound";
import { describeError } from "../_lib/describeError";
import type { CallTimeouts } from "../_lib/sendHttpCall";
import { trackSentBytes } from "../_lib/trackSentBytes";
import { CONNECT_TIMEOUT_MS, FIRST_BYTE_TIMEOUT_MS, SILENCE_TIMEOUT_MS } from "../constants";
import { type AnswerEnd, createChunkReader } from "./createChunkReader";
import { createEventPipe } from "./createEventPipe";
import { formatGeneration } from "./formatGeneration";
import { readRefusal } from "./readRefusal";
import { HttpStatus } from "../_lib/httpStatus";

/** What a generation needs. */
export interface HttpGenerationOptions {
    readonly pool: ConnectionPool;
    readonly timeouts?: CallTimeouts;
    /** Tells the engine on another connection to stop; called when this connection ended before the answer did. */
    readonly sendCancel: () => void;
}

const EARLY_END = "The stream ended before the answer did.";

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
    const { pool } = options;
    const { connectMs, firstByteMs, silenceMs = SILENCE_TIMEOUT_MS } = options.timeouts ?? {};
    const callId = `${id.requestId}/${id.attempt}`;
    const body = formatGeneration(request);
    const call = createRequest(endpoint, body.length, callId, request.usesNewConnection === true ? undefined : pool);
    let response: http.IncomingMessage | undefined;
    let isReaderSlow = false;

    const bound = createWaitBound(message =>
        pipe.isEnded ? call.destroy() : failWith(FailureKind.EndpointSilent, message),
    );
    const sent = trackSentBytes(call, () => bound.beginWait(firstByteMs ?? FIRST_BYTE_TIMEOUT_MS, "answer"));
    const beginSilence = () => bound.beginWait(silenceMs, "event");
    const pipe = createEventPipe(isBlocked => {
        isReaderSlow = isBlocked;
        if (isBlocked) {
            bound.endWait();
            response?.pause();
        } else {
            beginSilence();
            response?.resume();
        }
    });
    const endWith = (failure: Failure) => {
        bound.endWait();
        pipe.endWith({ kind: GenerationEventKind.Failed, id, failure });
        call.destroy();
    };
    const failWith = (kind: FailureKind, message: string) => {
        if (pipe.isEnded) {
            return;
        }
        const execution = sent.hasSentBytes() ? Execution.Unknown : Execution.NotRun;
        endWith(createFailure(kind, message, { execution }));
        if (kind === FailureKind.EndpointSilent) {
            pool.dropIdleConnections(endpoint);
        }
        if (sent.hasSentBytes()) {
            options.sendCancel();
        }
    };
    const failBroken = (error: Error) =>
        failWith(FailureKind.EndpointFailed, `The connection failed: ${describeError(error)}.`);
    const endRegularly = (end: AnswerEnd | undefined) => {
        if (end === undefined) {
            failWith(FailureKind.EndpointFailed, EARLY_END);
            return;
        }
        pipe.endWith({ kind: GenerationEventKind.Finished, id, ...end });
        beginSilence();
        response?.resume();
    };
    const feedText = createChunkReader(id, request.resumedTexts.length, {
        handleSignOfLife: () => {
            if (!isReaderSlow && !pipe.isEnded) {
                beginSilence();
            }
        },
        handleTokens: (chunkId, batch) => pipe.pushEvent({ kind: GenerationEventKind.Tokens, id: chunkId, batch }),
        handleEnd: endRegularly,
        handleUnreadable: message => failWith(FailureKind.EndpointFailed, message),
    });
    const readStream = (stream: http.IncomingMessage) => {
        beginSilence();
        stream.setEncoding("utf8");
        stream.on("data", (text: string) => {
            if (!pipe.isEnded) {
                feedText(text);
            }
        });
        stream.on("end", () => {
            bound.endWait();
            failWith(FailureKind.EndpointFailed, EARLY_END);
        });
        stream.on("error", failBroken);
    };
    bound.beginWait(connectMs ?? CONNECT_TIMEOUT_MS, "connection");
    call.on("error", error => {
        // Bytes after a whole answer belong to no request; the stream's own end follows.
        if (response?.complete !== true) {
            failBroken(error);
        }
    });
    call.on("response", stream => {
        response = stream;
        const echoed = stream.headers["x-request-id"];
        if (echoed !== undefined && echoed !== callId) {
            failWith(FailureKind.EndpointFailed, "The answer belongs to another request.");
            pool.dropIdleConnections(endpoint);
        } else if (stream.statusCode === HttpStatus.Ok) {
            readStream(stream);
        } else if ((stream.statusCode ?? 0) < HttpStatus.Ok) {
            failWith(FailureKind.EndpointFailed, "The answer has a status that isn't final.");
        } else {
            beginSilence();
            void readRefusal(stream, callId).then(endWith);
        }
    });
    call.end(body);
    return {
        events: pipe.events,
        hasSentBytes: sent.hasSentBytes,
        cancel: () => failWith(FailureKind.Cancelled, "The generation was cancelled."),
    };
}

function createRequest(
    endpoint: Endpoint,
    bodyBytes: number,
    callId: string,
    pool: ConnectionPool | undefined,
): http.ClientRequest {
    return http.request({
        host: endpoint.address,
        port: endpoint.port,
        method: "POST",
        path: "/v1/chat/completions",
        agent: pool?.agent ?? false,
        headers: { "content-type": "application/json", "content-length": bodyBytes, "x-request-id": callId },
    });
}
