/**
 * @module A client of the operators' listener over Node's HTTP.
 */
import http from "node:http";
import https from "node:https";
import { err, ok, type Result } from "neverthrow";
import { createByteAccumulator } from "../base/createByteAccumulator";
import { createFailure } from "../base/createFailure";
import { Execution, type Failure, FailureKind } from "../base/failure";
import { convertFailureBody, parseBody } from "./_lib/convertFailureBody";
import { OPERATOR_PATH_PREFIX } from "../operator/constants";
import type { OperatorClient } from "./operatorClient";

/** A query may wait for a revision to be in force, so this is longer than that wait. */
const ANSWER_TIMEOUT_MS = 40_000;
/** Larger answers are refused. */
const LARGEST_ANSWER_BYTES = 67_108_864;

/** Where the listener is and who asks. */
export interface OperatorClientOptions {
    /** URL without path, for example `https://10.0.0.4:8081`. */
    readonly url: string;
    readonly key: string;
    /** Certificates (PEM) that are trusted beside the system's. */
    readonly authority?: string;
    readonly timeoutMs?: number;
}

interface Answer {
    readonly status: number;
    readonly body: Buffer;
}

/**
 * Creates a client. Each request has a connection of its own.
 *
 * @param options - Where to and as whom
 * @returns The client
 * @example
 * const client = createOperatorClient({ url: "http://127.0.0.1:8081", key });
 * const status = await client.readQuery<StatusView>("/status");
 */
export function createOperatorClient(options: OperatorClientOptions): OperatorClient {
    return {
        readQuery: async <T>(path: string) => readAnswer<T>(await sendRequest(options, "GET", path, undefined)),
        sendCommand: async <T>(method: string, path: string, body?: unknown) =>
            readAnswer<T>(await sendRequest(options, method, path, body)),
    };
}

function sendRequest(
    options: OperatorClientOptions,
    method: string,
    path: string,
    body: unknown,
): Promise<Result<Answer, Failure>> {
    const url = new URL(`${OPERATOR_PATH_PREFIX}${path}`, options.url);
    const text = body === undefined ? "" : JSON.stringify(body);
    const headers = {
        authorization: `Bearer ${options.key}`,
        "content-type": "application/json",
        "content-length": Buffer.byteLength(text),
    };
    const open = url.protocol === "https:" ? https.request : http.request;
    return new Promise(resolve => {
        let isSent = false;
        const fail = (kind: FailureKind, reason: string) => {
            const isUnknown = isSent && method !== "GET";
            resolve(err(isUnknown ? createUnknown(url, reason) : createFailure(kind, `${url.origin}: ${reason}.`)));
        };
        const request = open(url, { method, headers, agent: false, ca: options.authority });
        const timer = setTimeout(() => {
            fail(FailureKind.EndpointSilent, "no answer in time");
            request.destroy();
        }, options.timeoutMs ?? ANSWER_TIMEOUT_MS);
        request.on("error", (error: NodeJS.ErrnoException) => {
            clearTimeout(timer);
            fail(FailureKind.EndpointFailed, error.code ?? error.message);
        });
        request.on("finish", () => {
            isSent = request.socket?.connecting === false;
        });
        request.on("response", response => {
            collectBody(response, body => {
                clearTimeout(timer);
                if (body === undefined) {
                    fail(FailureKind.EndpointFailed, "the answer is not complete or too large");
                } else {
                    resolve(ok({ status: response.statusCode ?? 0, body }));
                }
            });
        });
        request.end(text);
    });
}

function createUnknown(url: URL, reason: string): Failure {
    const message = `${url.origin}: ${reason}; the change may have been made.`;
    return createFailure(FailureKind.OutcomeUnknown, message, { execution: Execution.Unknown });
}

function collectBody(response: http.IncomingMessage, done: (body: Buffer | undefined) => void): void {
    const body = createByteAccumulator({ bytesMax: LARGEST_ANSWER_BYTES });
    let isTooLarge = false;
    response.on("data", (piece: Buffer) => {
        if (!body.append(piece)) {
            isTooLarge = true;
            response.destroy();
        }
    });
    response.on("error", () => undefined);
    response.on("close", () => done(response.complete && !isTooLarge ? body.takeBytes() : undefined));
}

function readAnswer<T>(answer: Result<Answer, Failure>): Result<T, Failure> {
    return answer.andThen(({ status, body }) => {
        const parsed = parseBody(body);
        if (parsed === undefined) {
            return err(
                createFailure(FailureKind.EndpointFailed, `HTTP ${status} without JSON: not an operators' listener.`),
            );
        }
        const failure = status < 300 ? undefined : convertFailureBody(status, body);
        return failure === undefined ? ok(parsed as T) : err(failure);
    });
}
