/**
 * @module Writes one generation to its reader as server-sent events.
 */
import type { Clock } from "../../base/clock";
import type { Usage } from "../../model/request";
import type { StandinCall } from "../_lib/standinCall";
import { STREAM_HEARTBEAT_MS } from "../constants";
import type { StreamFaults } from "./drawStreamFaults";
import type { ParsedGeneration } from "./parseGeneration";
import { HttpStatus } from "../../adapters/_lib/httpStatus";

/** One generation's way to its reader. */
export interface StreamWriter {
    /** Sends a token. While the reader is slow, tokens are collected and sent as one chunk later. */
    writeToken(index: number, text: string): void;
    /** Sends the end of the answer. */
    finish(reason: string, usage: Usage): void;
    /** Stops the heartbeat. */
    dispose(): void;
}

/** What a writer needs. */
export interface StreamWriterOptions {
    readonly call: StandinCall;
    readonly generation: ParsedGeneration;
    readonly completionId: string;
    readonly faults: StreamFaults;
    readonly clock: Clock;
    /** Identity that crossed chunks carry. */
    readonly otherIdentity: { readonly request_id: string; readonly attempt: number };
}

/**
 * Creates the writer of a stream and sends the response's head.
 *
 * @param options - The call, the request and its faults
 * @returns The writer
 * @example
 * const writer = createStreamWriter(options);
 * writer.writeToken(0, " word");
 */
export function createStreamWriter(options: StreamWriterOptions): StreamWriter {
    const { call, generation, faults, clock } = options;
    const { response } = call;
    let pending: { offset: number; texts: string[] } | undefined;
    let isBlocked = false;
    let tokensWritten = 0;
    let lastWriteMs = clock.readMonotonicMs();

    const lastToken = Math.min(faults.silentAfterTokens ?? Infinity, faults.cutAfterTokens ?? Infinity);

    const isEnded = () => response.destroyed || response.writableEnded || tokensWritten >= lastToken;
    const sendText = (text: string) => {
        if (response.destroyed || response.writableEnded) {
            return;
        }
        lastWriteMs = clock.readMonotonicMs();
        isBlocked = !response.write(text);
    };
    const runLate = (action: () => void) => {
        if (faults.lateMs === 0) {
            action();
        } else {
            void clock.waitMs(faults.lateMs).then(action);
        }
    };
    const flush = () => {
        if (pending === undefined || isBlocked) {
            return;
        }
        const { offset, texts } = pending;
        pending = undefined;
        const text = formatEvent(
            createChunk(options, { delta: { content: texts.join("") }, finish_reason: undefined }, { offset, texts }),
        );
        sendText(faults.isDoubled ? text + text : text);
    };
    const heartbeat = setInterval(() => {
        if (!isEnded() && !isBlocked && clock.readMonotonicMs() - lastWriteMs >= STREAM_HEARTBEAT_MS) {
            sendText(": waiting\n\n");
        }
    }, STREAM_HEARTBEAT_MS);
    heartbeat.unref();
    response.on("drain", () => {
        isBlocked = false;
        flush();
    });
    response.writeHead(HttpStatus.Ok, createHeaders(call));
    response.flushHeaders();
    if (faults.isAnswerLost || faults.cutAfterTokens === 0) {
        call.request.socket.destroy();
    }
    return {
        writeToken: (index, text) =>
            runLate(() => {
                if (isEnded()) {
                    return;
                }
                pending ??= { offset: index, texts: [] };
                pending.texts.push(text);
                tokensWritten++;
                flush();
                if (tokensWritten === faults.cutAfterTokens) {
                    response.write("", () => call.request.socket.destroy());
                }
            }),
        finish: (reason, usage) =>
            runLate(() => {
                clearInterval(heartbeat);
                if (isEnded()) {
                    return;
                }
                isBlocked = false;
                flush();
                const last = createChunk(options, { delta: {}, finish_reason: reason });
                const counts = { ...createChunk(options), usage: convertUsage(usage) };
                response.end(`${formatEvent(last)}${formatEvent(counts)}data: [DONE]\n\n`);
            }),
        dispose: () => clearInterval(heartbeat),
    };

    function createChunk(
        { completionId, otherIdentity }: StreamWriterOptions,
        choice?: { readonly delta: object; readonly finish_reason: string | undefined },
        batch?: { readonly offset: number; readonly texts: readonly string[] },
    ): object {
        const { extension } = generation;
        const identity = faults.isCrossed
            ? otherIdentity
            : extension && { request_id: extension.requestId, attempt: extension.attempt };
        return {
            id: completionId,
            object: "chat.completion.chunk",
            created: Math.floor(clock.readWallMs() / 1000),
            model: generation.model,
            choices: choice === undefined ? [] : [{ index: 0, ...choice }],
            redwinglift: extension && { ...identity, ...batch },
        };
    }
}

function createHeaders(call: StandinCall): Readonly<Record<string, string>> {
    const requestId = call.headers["x-request-id"];
    return {
        "content-type": "text/event-stream",
        "cache-control": "no-store",
        ...(typeof requestId === "string" ? { "x-request-id": requestId } : {}),
    };
}

function formatEvent(chunk: object): string {
    return `data: ${JSON.stringify(chunk)}\n\n`;
}

function convertUsage(usage: Usage): object {
    return {
        prompt_tokens: usage.promptTokens,
        completion_tokens: usage.outputTokens,
        total_tokens: usage.promptTokens + usage.outputTokens,
        prompt_tokens_details: { cached_tokens: usage.cachedTokens },
    };
}
