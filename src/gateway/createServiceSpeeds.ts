/**
 * @module What a node learns about the speed of services from their answers.
 */
import type { ServiceSpeed } from "../decisions/gateway/chooseEndpoint";

const FIRST_TOKENS_PER_MS = 40;
const FIRST_SERVICE_MS = 30;
/** Prompts shorter than this say little about the reading speed. */
const SHORT_PROMPT_TOKENS = 1_500;
/** The speed follows this quantile of what is observed: slower answers had to wait for others. */
const SPEED_QUANTILE = 0.85;
const SPEED_STEP = 0.05;
const SERVICE_WEIGHT = 0.05;

/** One answer. */
export interface AnswerTime {
    readonly uncachedTokens: number;
    /** Time from the send to the first part of the answer, without the way there and back. */
    readonly firstPartMs: number;
}

/** Speeds by service. */
export interface ServiceSpeeds {
    readSpeed(service: string): ServiceSpeed;
    recordAnswer(service: string, answer: AnswerTime): void;
}

/**
 * Creates the speeds, with a first guess for every service.
 *
 * @returns The speeds
 * @example
 * speeds.readSpeed("newsdesk-llm").tokensPerMs;
 */
export function createServiceSpeeds(): ServiceSpeeds {
    const speeds = new Map<string, ServiceSpeed>();
    const readSpeed = (service: string): ServiceSpeed =>
        speeds.get(service) ?? { tokensPerMs: FIRST_TOKENS_PER_MS, serviceMs: FIRST_SERVICE_MS };
    return {
        readSpeed,
        recordAnswer: (service, { uncachedTokens, firstPartMs }) => {
            const { tokensPerMs, serviceMs } = readSpeed(service);
            if (uncachedTokens >= SHORT_PROMPT_TOKENS) {
                const observed = uncachedTokens / Math.max(1, firstPartMs);
                const step = observed > tokensPerMs ? SPEED_QUANTILE : SPEED_QUANTILE - 1;
                speeds.set(service, { serviceMs, tokensPerMs: tokensPerMs * (1 + SPEED_STEP * step) });
            } else {
                const ownMs = Math.max(1, firstPartMs - uncachedTokens / tokensPerMs);
                speeds.set(service, { tokensPerMs, serviceMs: serviceMs + SERVICE_WEIGHT * (ownMs - serviceMs) });
            }
        },
    };
}
