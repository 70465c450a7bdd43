/**
 * @module Estimates the speed of each service from the answer times that the node observes.
 */
import type { ServiceSpeed } from "../../decisions/gateway/chooseEndpoint";

const INITIAL_TOKENS_PER_MS = 40;
const INITIAL_SERVICE_MS = 30;
/** Shorter prompts update the estimate of the fixed time, longer ones that of the reading speed. */
const LONG_PROMPT_MIN_TOKENS = 1_500;
/** Quantiles that are estimated: a high speed and a short time, since slower answers had to wait for other requests. */
const TOKENS_PER_MS_QUANTILE = 0.8;
const SERVICE_MS_QUANTILE = 0.3;
/** Share of an estimate by which one observation changes it at most. */
const QUANTILE_STEP_SHARE = 0.05;

/** The time to the first part of an answer. */
export interface AnswerTiming {
    readonly uncachedTokens: number;
    /** Time from sending the request to the first part of the answer, without the network round trip. */
    readonly firstPartMs: number;
}

/** The estimated speed of each service. */
export interface ServiceSpeeds {
    readSpeed(service: string): ServiceSpeed;
    recordAnswer(service: string, answer: AnswerTiming): void;
}

/**
 * Creates the estimates, with the same initial values for every service. The time to an answer is modelled as a fixed
 * time plus one that is proportional to the uncached part of the prompt; short prompts update the former, long ones the
 * latter.
 *
 * @returns The estimates
 * @example
 * speeds.readSpeed("assistant").tokensPerMs;
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

/** Moves the estimate of a quantile one step towards an observation. */
function advanceQuantile(estimate: number, observed: number, quantile: number): number {
    return estimate * (1 + QUANTILE_STEP_SHARE * (observed > estimate ? quantile : quantile - 1));
}
