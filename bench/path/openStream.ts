/**
 * @module One streamed chat request, timed.
 */
import http from "node:http";

/** Where requests go. */
export interface StreamTarget {
    readonly port: number;
    readonly headers: Readonly<Record<string, string>>;
}

/** What became of a stream. */
export interface StreamResult {
    /** Milliseconds to the first token; undefined if none came. */
    readonly firstTokenMs: number | undefined;
    readonly durationMs: number;
    readonly tokens: number;
    /** True if the stream ended with `[DONE]`. */
    readonly isComplete: boolean;
    readonly problem?: string;
}

const FIRST_TOKEN = /"content":"[^"]/;
const TOKEN = /"content":"[^"]/g;

/**
 * Opens a stream and reads it to its end.
 *
 * @param target - Port and headers
 * @param agent - Connections to use
 * @param body - The request
 * @returns Times and counts; never rejects
 * @example
 * const result = await openStream({ port, headers: {} }, agent, { model: "assistant", messages });
 */
export function openStream(target: StreamTarget, agent: http.Agent, body: object): Promise<StreamResult> {
    const startedMs = performance.now();
    return new Promise(resolve => {
        let firstTokenMs: number | undefined;
        let tokens = 0;
        let tail = "";
        const finish = (isComplete: boolean, problem?: string) =>
            resolve({ firstTokenMs, durationMs: performance.now() - startedMs, tokens, isComplete, problem });
        const request = http.request(
            {
                host: "127.0.0.1",
                port: target.port,
                path: "/v1/chat/completions",
                method: "POST",
                agent,
                headers: { "content-type": "application/json", ...target.headers },
            },
            response => {
                response.setEncoding("utf8");
                response.on("data", (text: string) => {
                    if (firstTokenMs === undefined && FIRST_TOKEN.test(text)) {
                        firstTokenMs = performance.now() - startedMs;
                    }
                    tokens += text.match(TOKEN)?.length ?? 0;
                    tail = text.slice(-200);
                });
                response.on("end", () => {
                    const isComplete = tail.includes("[DONE]");
                    finish(isComplete, isComplete ? undefined : `status ${response.statusCode}: ${tail}`);
                });
                response.on("error", error => finish(false, error.message));
            },
        );
        request.on("error", error => finish(false, error.message));
        request.end(JSON.stringify(body));
    });
}
