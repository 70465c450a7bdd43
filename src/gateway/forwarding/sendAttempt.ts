/**
 * @module One attempt to have a request executed by an endpoint.
 */
import http from "node:http";
import { createCompletionCheck } from "../../adapters/_lib/createCompletionCheck";
import { createWaitBound } from "../../adapters/_lib/createWaitBound";
import { describeError } from "../../adapters/_lib/describeError";
import { HttpStatus } from "../../adapters/_lib/httpStatus";
import { readWholeAnswer } from "../../adapters/_lib/readWholeAnswer";
import { trackSentBytes } from "../../adapters/_lib/trackSentBytes";
import type { MemoryLease } from "../../base/createMemoryBudget";
import { PROCESS_READ_TURNS } from "../../http/processReadTurns";
import { readContentLength } from "../../http/readContentLength";
import { AttemptOutcome } from "../../decisions/gateway/decideNextAction";
import type { ResponseHead, ForwardingCodec } from "../../ports/forwardingCodec";
import { CONNECT_TIMEOUT_MS, WHOLE_ANSWER_BYTES_MAX } from "../constants";
import { createEventSplitter } from "./createEventSplitter";
import { FailureOwner, type FailureReporter } from "../process/createFailureReporter";
import type { RelayedHead, StreamRelay } from "./createStreamRelay";
import { dropAnswer } from "./dropAnswer";
import type { EndpointRecord } from "../endpoints/endpointRecord";

/** The request, its endpoint and time limits, and the handlers of its progress. */
export interface AttemptOptions {
    readonly record: EndpointRecord;
    readonly method: string;
    readonly path: string;
    /** Names and values. */
    readonly headers: readonly (readonly [string, string])[];
    readonly body: Buffer | undefined;
    /** An answer with another id belongs to another request. */
    readonly requestId: string | undefined;
    readonly codec: ForwardingCodec;
    readonly relay: StreamRelay;
    /** Longest idle time of a connection that may be used; default: the idle timeout of the endpoint. */
    readonly maxIdleMs: number | undefined;
    /**
     * Time without the answer or its first event, and between two events, after which `canGiveUp` is asked, at first and
     * again from time to time; absent: there is no limit but `ended`.
     */
    readonly answerTimeoutMs: number | undefined;
    readonly eventTimeoutMs: number | undefined;
    /** Decides, when one of the two times is over, whether the attempt is given up. */
    readonly canGiveUp: () => boolean;
    /** Where the bytes of a whole answer, and of a large event that isn't whole yet, are held. */
    readonly answerMemory: MemoryLease;
    /** Aborts the attempt when the caller leaves or the request times out; its reason is the `AttemptOutcome`. */
    readonly ended: AbortSignal;
    readonly handleAnswerHead: (head: ResponseHead) => void;
    /** Called when the first event, or an answer that is not a stream, has been received whole. */
    readonly handleFirstPart: () => void;
    readonly reportFailure: FailureReporter;
}

/** An answer that was received whole and is not relayed yet. */
export interface WholeAnswer extends RelayedHead {
    readonly body: Buffer;
    /** The length that it states, which is not that of `body` if an answer of its kind has none. */
    readonly statedBytes: number | undefined;
}

/** What happened to the connection of an attempt that the endpoint, and not this node, ended. */
export enum ConnectionEnd {
    /** It broke after a byte of the request can have been sent. */
    Broken = "broken",
    /** The endpoint's address refused it. */
    Refused = "refused",
}

/** How an attempt ended. */
export interface AttemptResult {
    readonly end: AttemptOutcome;
    /** Present only with `AttemptOutcome.Answered`. */
    readonly answer?: WholeAnswer;
    /** Absent if the connection was not ended by the other side. */
    readonly connection?: ConnectionEnd;
    /** Reason of the end, for log lines and failure messages. */
    readonly reason: string;
}

/** Larger events count as held memory while they aren't whole. */
const SMALL_EVENT_BYTES_MAX = 65_536;
/** Time after which it is asked again whether an attempt is given up. */
const GIVE_UP_INTERVAL_MS = 250;
/** Most informational answers (status 1xx) before the final one. */
const INFORMATIONAL_ANSWERS_MAX = 8;
const EVENT_STREAM = /^text\/event-stream\b/i;
/**
 * Statuses with which an endpoint refuses a request before executing it. Unless its headers state that it did not
 * execute the request, such an answer is unusable: the request may have been executed.
 */
const REFUSAL_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/**
 * Sends a request to an endpoint. A stream is relayed while it arrives; any other answer is read whole.
 *
 * @param options - The request, the endpoint and the handlers
 * @returns How it ended; the promise never rejects
 * @example
 * const result = await sendAttempt(options);
 */
export function sendAttempt(options: AttemptOptions): Promise<AttemptResult> {
    return new Promise(resolve => {
        const { ended } = options;
        const request = createRequest(options);
        if (request instanceof Error) {
            resolve({ end: AttemptOutcome.Unsendable, reason: describeError(request) });
            return;
        }
        let isSettled = false;
        let overdue: string | undefined;
        const guard: Guard = handle => {
            return (...values) => {
                if (isSettled) {
                    return;
                }
                try {
                    handle(...values);
                } catch (error) {
                    options.reportFailure(FailureOwner.Attempt, error, { requestId: options.requestId });
                    settle(buildLossResult(options, "an error inside the node"));
                }
            };
        };
        const handleOverdue = guard((message: string) => {
            overdue ??= message;
            if (!sentBytes.hasSentBytes() || options.canGiveUp()) {
                settleUnanswered(overdue);
            } else {
                waitBound.beginWait(GIVE_UP_INTERVAL_MS, "answer");
            }
        });
        const waitBound = createWaitBound(handleOverdue);
        const beginWait: BeginWait = (delayMs, awaited) => {
            overdue = undefined;
            if (delayMs === undefined || isSettled) {
                waitBound.endWait();
            } else {
                waitBound.beginWait(delayMs, awaited);
            }
        };
        const settle = (result: AttemptResult, keepsConnection = false) => {
            if (isSettled) {
                return;
            }
            isSettled = true;
            waitBound.endWait();
            ended.removeEventListener("abort", abandon);
            if (result.end !== AttemptOutcome.Answered) {
                options.answerMemory.release();
            }
            if (!keepsConnection) {
                request.destroy();
            }
            resolve(result);
        };
        const abandon = () =>
            settle({
                end: ended.reason === AttemptOutcome.TimedOut ? AttemptOutcome.TimedOut : AttemptOutcome.CallerGone,
                reason: "aborted by the gateway",
            });
        const settleUnanswered = (reason: string, error?: NodeJS.ErrnoException) => {
            const isRefused = error?.code === "ECONNREFUSED";
            settle(
                sentBytes.hasSentBytes()
                    ? buildLossResult(options, reason, error === undefined ? undefined : ConnectionEnd.Broken)
                    : { end: AttemptOutcome.NotSent, reason, ...(isRefused && { connection: ConnectionEnd.Refused }) },
            );
        };
        beginWait(CONNECT_TIMEOUT_MS, "connection");
        const sentBytes = trackSentBytes(request, () => beginWait(options.answerTimeoutMs, "answer"));
        let answer: http.IncomingMessage | undefined;
        request.on("error", error => {
            // Bytes after a whole answer belong to no request; the answer stands, and the connection is closed.
            if (answer?.complete !== true) {
                settleUnanswered(describeError(error), error);
            }
        });
        let informationalAnswers = 0;
        request.on("information", () => {
            if (++informationalAnswers > INFORMATIONAL_ANSWERS_MAX) {
                settleUnanswered("too many informational answers");
            }
        });
        request.on("upgrade", (_response, socket) => {
            socket.destroy();
            settleUnanswered("the endpoint switched protocols");
        });
        const handleAnswer = guard((response: http.IncomingMessage) => {
            const isFirst = !request.reusedSocket;
            handleResponse({ options, response, settle, beginWait, guard }, isFirst);
        });
        request.on("response", response => {
            answer = response;
            PROCESS_READ_TURNS.trackPieces(response);
            waitBound.endWait();
            handleAnswer(response);
        });
        if (ended.aborted) {
            abandon();
            return;
        }
        ended.addEventListener("abort", abandon);
        request.end(options.body);
    });
}

/** Creates the request; gives the error if its path or headers are none that the protocol allows. */
function createRequest({ record, method, path, headers, maxIdleMs }: AttemptOptions): http.ClientRequest | Error {
    const { address: host, port } = record.endpoint.target;
    try {
        return http.request({
            host,
            port,
            method,
            path,
            headers: headers.flat(),
            agent: record.connections.prepareAgent(maxIdleMs),
        });
    } catch (error) {
        return error instanceof Error ? error : new Error(String(error));
    }
}

/** Ends the attempt; the connection is closed unless `keepsConnection` is true. */
type Settle = (result: AttemptResult, keepsConnection?: boolean) => void;
/** Sets the limit of the next wait; without a delay there is none. */
type BeginWait = (delayMs: number | undefined, awaited: string) => void;
/** Makes a handler that ends the attempt if the given one throws, and does nothing once the attempt has ended. */
type Guard = <A extends unknown[]>(handle: (...values: A) => void) => (...values: A) => void;

/** An answer whose head has arrived, and what its handlers do with the attempt. */
interface AnswerContext {
    readonly options: AttemptOptions;
    readonly response: http.IncomingMessage;
    readonly settle: Settle;
    readonly beginWait: BeginWait;
    readonly guard: Guard;
}

function handleResponse(context: AnswerContext, isFirst: boolean): void {
    const { options, response } = context;
    const status = response.statusCode ?? 0;
    const head = options.codec.readResponseHead(status, response.headers);
    const hasOwnId = head.requestId === options.requestId;
    // Without an id, only the first answer on a connection is sure to be no copy of an earlier one.
    const settle: Settle = (result, keepsConnection = false) => context.settle(result, keepsConnection && hasOwnId);
    response.on("error", error => settle(buildLossResult(options, describeError(error), ConnectionEnd.Broken)));
    response.on("aborted", () => settle(buildLossResult(options, "the answer was cut off", ConnectionEnd.Broken)));
    if (!hasOwnId && (head.requestId !== undefined || !isFirst)) {
        settle(buildLossResult(options, "the answer belongs to another request"));
        return;
    }
    options.handleAnswerHead(head);
    if (head.isNotExecuted) {
        settle({ end: AttemptOutcome.NotExecuted, reason: `not executed, status ${status}` }, true);
        dropAnswer(response);
        return;
    }
    const relayed = { status, headers: options.codec.buildCallerHeaders(response.rawHeaders) };
    if (!isUsable(status, head)) {
        settle(buildLossResult(options, `unusable answer, status ${status}`));
        return;
    }
    const isStream = status < HttpStatus.FirstRedirect && EVENT_STREAM.test(response.headers["content-type"] ?? "");
    if (isStream) {
        streamAnswer({ ...context, settle }, relayed);
    } else {
        receiveWholeAnswer({ ...context, settle }, relayed);
    }
}

/** Tells whether an answer may be relayed. */
function isUsable(status: number, head: ResponseHead): boolean {
    if (status < HttpStatus.FirstRedirect) {
        return status >= HttpStatus.Ok && head.isSealed && !head.isBodyAltered;
    }
    return !REFUSAL_STATUSES.has(status);
}

function streamAnswer(context: AnswerContext, head: RelayedHead): void {
    const { options, response, settle, beginWait, guard } = context;
    const isComplete = createCompletionCheck(response, options.method);
    const splitter = createEventSplitter();
    let hasFirstEvent = false;
    const beginEventWait = () =>
        hasFirstEvent
            ? beginWait(options.eventTimeoutMs, "further event")
            : beginWait(options.answerTimeoutMs, "event");
    const resume = () => {
        beginEventWait();
        response.resume();
    };
    const handleChunk = (chunk: Buffer) => {
        const batch = splitter.push(chunk);
        const unfinishedBytes = splitter.countUnfinishedBytes();
        const heldBytes = unfinishedBytes > SMALL_EVENT_BYTES_MAX ? unfinishedBytes : 0;
        if (splitter.isOverfull() || !options.answerMemory.setBytes(heldBytes)) {
            settle(buildLossResult(options, "an event is too large"));
            return;
        }
        if (batch === undefined || options.ended.aborted) {
            return;
        }
        if (batch.hasEvent) {
            if (!hasFirstEvent) {
                hasFirstEvent = true;
                options.handleFirstPart();
            }
            beginEventWait();
        }
        if (!options.relay.relayEvents(head, batch)) {
            settle({ end: AttemptOutcome.Broken, reason: "the events do not continue those relayed before" });
        } else if (options.relay.waitForDrain(resume)) {
            // The endpoint isn't to blame while the caller doesn't read.
            beginWait(undefined, "further event");
            response.pause();
        }
    };
    const handleEnd = (complete: boolean) => {
        if (!complete || splitter.takeRemainder().length > 0 || options.ended.aborted) {
            settle(buildLossResult(options, "the stream was cut off", complete ? undefined : ConnectionEnd.Broken));
            return;
        }
        options.relay.endRelay(head);
        settle({ end: AttemptOutcome.Relayed, reason: "complete" }, true);
    };
    beginEventWait();
    response.on("data", guard(handleChunk));
    response.on("end", () => {
        isComplete().then(
            guard(handleEnd),
            guard(() => handleEnd(false)),
        );
    });
}

function receiveWholeAnswer({ options, response, settle, guard }: AnswerContext, head: RelayedHead): void {
    const statedBytes = readContentLength(response.headers);
    const limits = { method: options.method, bytesMax: WHOLE_ANSWER_BYTES_MAX, memory: options.answerMemory };
    readWholeAnswer(response, limits, {
        handlePart: () => undefined,
        handleTooLarge: () => settle(buildLossResult(options, "the answer is too large")),
        handleError: error => settle(buildLossResult(options, describeError(error), ConnectionEnd.Broken)),
        handleWhole: guard((body: Buffer) => {
            options.handleFirstPart();
            const answer = { ...head, body, statedBytes };
            settle({ end: AttemptOutcome.Answered, answer, reason: `status ${head.status}` }, true);
        }),
    });
}

/**
 * Builds the result of an attempt without a usable answer: `Lost` if nothing was relayed to the caller, else `Broken`.
 */
function buildLossResult(options: AttemptOptions, reason: string, connection?: ConnectionEnd): AttemptResult {
    const end = options.relay.hasBegun() ? AttemptOutcome.Broken : AttemptOutcome.Lost;
    return connection === undefined ? { end, reason } : { end, reason, connection };
}
