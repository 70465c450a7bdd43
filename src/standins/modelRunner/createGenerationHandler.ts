/**
 * @module Chat completions of the model runner stand-in.
 */
import type { Clock } from "../../base/clock";
import { FinishReason, type Usage } from "../../model/request";
import { describePrompt } from "../../tasks/execution/describePrompt";
import type { FaultGate } from "../_lib/createFaultGate";
import type { StandinCall, StandinReply } from "../_lib/standinCall";
import { type FaultFacts, FaultKind } from "../fault";
import { countAnswerTokens } from "../modelEngine/countAnswerTokens";
import { type EngineOutput, EngineOutputKind } from "../modelEngine/engineState";
import { generateToken } from "../modelEngine/generateToken";
import { hashPrompt } from "../modelEngine/hashPrompt";
import type { ExportedCache } from "./createCacheExchange";
import type { EngineTask } from "./createEngineTask";
import { createStreamWriter, type StreamWriter } from "./createStreamWriter";
import { createWholeWriter } from "./createWholeWriter";
import { drawStreamFaults } from "./drawStreamFaults";
import { type ParsedGeneration, parseGeneration } from "./parseGeneration";
import { HttpStatus } from "../../adapters/_lib/httpStatus";

/** The generations of a runner. */
export interface GenerationHandler {
    /** Handles `POST /v1/chat/completions`. */
    handleGeneration(call: StandinCall): StandinReply | undefined;
    /** Passes tokens and ends on to their readers. */
    handleOutput(output: EngineOutput): void;
    /** Cancels an attempt by order; false if it isn't there. */
    cancelAttempt(requestId: string, attempt: number): boolean;
    /** Gives the KV cache of a running attempt. */
    findRunning(requestId: string, attempt: number): ExportedCache | undefined;
    /** Generations begun, by request id. */
    countStarts(requestId: string): number;
}

/** What generations need. */
export interface GenerationOptions {
    readonly clock: Clock;
    readonly serviceName?: string;
    readonly readTask: () => EngineTask;
    readonly readGate: () => FaultGate;
    readonly readFacts: () => FaultFacts;
    readonly findImported: (cacheId: string) => ExportedCache | undefined;
    /** Ends the runner for so long, with all its connections. */
    readonly crash: (downMs: number) => void;
}

interface Active {
    readonly generation: ParsedGeneration;
    readonly promptHash: number;
    readonly promptTokens: number;
    readonly answerTokens: number;
    readonly writer: StreamWriter;
    nextToken: number;
    /** The runner crashes before the next token is sent. */
    readonly crashMs: number | undefined;
}

const NOT_RUN_HEADERS = { "redwinglift-execution": "not_run" };

/**
 * Creates the handler of a runner's generations.
 *
 * @param options - The engine and the faults
 * @returns The handler
 * @example
 * const generations = createGenerationHandler(options);
 */
export function createGenerationHandler(options: GenerationOptions): GenerationHandler {
    const active = new Map<string, Active>();
    const startsByRequest = new Map<string, number>();
    let lastIdentity = { request_id: "another-request", attempt: 1 };
    let completions = 0;

    const endGeneration = (key: string) => {
        active.get(key)?.writer.dispose();
        active.delete(key);
        return options.readTask().cancelSequence(key);
    };
    const handleGeneration = (call: StandinCall): StandinReply | undefined => {
        const parsed = parseGeneration(call.body);
        if (parsed.isErr()) {
            return refuse(HttpStatus.BadRequest, parsed.error.message);
        }
        const generation = parsed.value;
        const refusal = checkGeneration(generation);
        if (refusal !== undefined) {
            return refusal;
        }
        const facts = { ...options.readFacts(), route: call.path };
        if (options.readGate().strike(FaultKind.VersionFailing, facts) !== undefined) {
            return { status: HttpStatus.InternalServerError, body: { error: { message: "The model failed." } } };
        }
        const completionId = `chatcmpl-${++completions}`;
        const { extension } = generation;
        const key = extension === undefined ? completionId : formatKey(extension.requestId, extension.attempt);
        return beginGeneration(call, generation, key, completionId, facts);
    };
    const checkGeneration = ({ model, messages, extension }: ParsedGeneration): StandinReply | undefined => {
        if (options.serviceName !== undefined && model !== options.serviceName) {
            return refuse(HttpStatus.NotFound, `There is no model ${model}.`);
        }
        const promptHash = hashPrompt(messages);
        const wrong = extension?.resumedTexts.findIndex((text, index) => text !== generateToken(promptHash, index));
        if (wrong !== undefined && wrong >= 0) {
            return refuse(HttpStatus.BadRequest, `The resumed text differs from the answer at token ${wrong}.`);
        }
        return undefined;
    };
    const beginGeneration = (
        call: StandinCall,
        generation: ParsedGeneration,
        key: string,
        completionId: string,
        facts: FaultFacts,
    ): StandinReply | undefined => {
        const { extension, messages } = generation;
        const sampling = {};
        const { promptTokens, prefixHashes } = describePrompt({ ...generation, sampling });
        const answerTokens = Math.min(generation.maximumTokens, countAnswerTokens(messages));
        const resumeOffset = extension?.resumedTexts.length ?? 0;
        const promptHash = hashPrompt(messages);
        const imported = options.findImported(extension?.importedCacheId ?? "");
        const isSubmitted = options.readTask().submitSequence({
            key,
            priority: extension?.priority ?? 0,
            promptTokens,
            prefixHashes,
            resumeOffset,
            importedTokens: imported?.promptHash === promptHash ? imported.tokens : 0,
            answerTokens,
        });
        if (!isSubmitted) {
            return refuse(HttpStatus.TooManyRequests, "The queue is full.");
        }
        const requestId = extension?.requestId ?? completionId;
        startsByRequest.set(requestId, (startsByRequest.get(requestId) ?? 0) + 1);
        const faults = drawStreamFaults(options.readGate(), facts);
        const writer = generation.isStream
            ? createStreamWriter({
                  call,
                  generation,
                  completionId,
                  faults,
                  clock: options.clock,
                  otherIdentity: lastIdentity,
              })
            : createWholeWriter(call, generation, completionId, options.clock);
        const promptText = messages.map(({ content }) => content).join("\n");
        const crash = options.readGate().strike(FaultKind.Crash, { ...facts, promptText });
        const crashMs = crash && (crash.delayMs ?? 0);
        lastIdentity = { request_id: requestId, attempt: extension?.attempt ?? 1 };
        active.set(key, {
            generation,
            promptHash,
            promptTokens,
            answerTokens,
            writer,
            nextToken: resumeOffset,
            crashMs,
        });
        call.response.on("close", () => {
            if (!call.response.writableFinished && !call.isSilent() && !faults.isAnswerLost) {
                endGeneration(key);
            }
        });
        return undefined;
    };
    return {
        handleGeneration,
        handleOutput: output => {
            if (output.kind === EngineOutputKind.Token) {
                const entry = active.get(output.key);
                if (entry?.crashMs !== undefined) {
                    active.delete(output.key);
                    options.crash(entry.crashMs);
                } else if (entry !== undefined) {
                    entry.nextToken = output.index + 1;
                    entry.writer.writeToken(output.index, generateToken(entry.promptHash, output.index));
                }
            } else if (output.kind === EngineOutputKind.Finished) {
                const entry = active.get(output.key);
                active.delete(output.key);
                entry?.writer.finish(readFinishReason(entry), createUsage(entry, output.cachedTokens));
            }
        },
        cancelAttempt: (requestId, attempt) => endGeneration(formatKey(requestId, attempt)),
        findRunning: (requestId, attempt) => {
            const entry = active.get(formatKey(requestId, attempt));
            return entry && { promptHash: entry.promptHash, tokens: entry.promptTokens + entry.nextToken };
        },
        countStarts: requestId => startsByRequest.get(requestId) ?? 0,
    };
}

function formatKey(requestId: string, attempt: number): string {
    return `${requestId}/${attempt}`;
}

function refuse(status: number, message: string): StandinReply {
    return { status, body: { error: { message } }, headers: NOT_RUN_HEADERS };
}

function readFinishReason({ answerTokens, generation }: Active): FinishReason {
    return answerTokens < countAnswerTokens(generation.messages) ? FinishReason.Length : FinishReason.Stop;
}

function createUsage(entry: Active, cachedTokens: number): Usage {
    return { promptTokens: entry.promptTokens, outputTokens: entry.answerTokens, cachedTokens };
}
