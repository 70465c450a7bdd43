/**
 * @module What a node learns about the speed of services from their answers.
 */
import type { ServiceSpeed } from "../decisions/gateway/chooseEndpoint";

const INITIAL_TOKENS_PER_MS = 40;
const INITIAL_SERVICE_MS = 30;
/** Prompts shorter than this say more about the fixed part of the time than about the reading speed. */
const LONG_PROMPT_MIN_TOKENS = 1_500;
/** Quantiles that are followed: slower answers had to wait for others. */
const TOKENS_PER_MS_QUANTILE = 0.8;
const SERVICE_MS_QUANTILE = 0.3;
const QUANTILE_STEP_SHARE = 0.05;

/** One answer. */
export interface AnswerTiming {
    readonly uncachedTokens: number;
    /** Time from the send to the first part of the answer, without the way there and back. */
    readonly firstPartMs: number;
}

/** Speeds by service. */
export interface ServiceSpeeds {
    readSpeed(service: string): ServiceSpeed;
    recordAnswer(service: string, answer: AnswerTiming): void;
}

/**
 * Creates the speeds, with a first guess for every service. The time to an answer is taken as a fixed part and one that
 * grows with the prompt; short prompts teach the one, long ones the other.
 *
 * @returns The speeds
 * @example
 * speeds.readSpeed("newsdesk-llm").tokensPerMs;
 */
export function createServiceSpeeds(): ServiceSpeeds {
    const speeds = new Map<string, ServiceSpeed>();
    const readSpeed = (service: string): ServiceSpeed =>
        speeds.get(service) ?? { tokensPerMs: INITIAL_TOKENS_PER_MS, serviceMs: INITIAL_SERVICE_MS };
    return {
        readSpeed,
        recordAnswer: (service, { uncachedTokens, firstPartMs }) => {
            const { tokensPerMs, serviceMs } = readSpeed(service);
            if (uncachedTokens >= LONG_PROMPT_MIN_TOKENS) {
                const observed = uncachedTokens / Math.max(1, firstPartMs - serviceMs);
                speeds.set(service, {
                    serviceMs,
                    tokensPerMs: advanceQuantile(tokensPerMs, observed, TOKENS_PER_MS_QUANTILE),
                });
            } else {
                const observed = Math.max(1, firstPartMs - uncachedTokens / tokensPerMs);
                speeds.set(service, {
                    tokensPerMs,
                    serviceMs: advanceQuantile(serviceMs, observed, SERVICE_MS_QUANTILE),
                });
            }
        },
    };
}

/** Moves an estimate of a quantile one step towards an observation. */
function advanceQuantile(estimate: number, observed: number, quantile: number): number {
    return estimate * (1 + QUANTILE_STEP_SHARE * (observed > estimate ? quantile : quantile - 1));
}
