/**
 * @module Finds the load level of an endpoint.
 */
import { LoadLevel } from "./versionEvidence";

/** Requests from which the load level is middle. */
const MIDDLE_LEVEL_REQUESTS = 8;
/** Requests from which the load level is high. */
const HIGH_LEVEL_REQUESTS = 32;

/**
 * Finds the load level of an endpoint from the number of its requests when an attempt is sent to it.
 *
 * @param requests - Running and queued requests of the endpoint
 * @returns The load level
 * @example
 * findLoadLevel(12); //=> LoadLevel.Middle
 */
export function findLoadLevel(requests: number): LoadLevel {
    if (requests < MIDDLE_LEVEL_REQUESTS) {
        return LoadLevel.Low;
    }
    return requests < HIGH_LEVEL_REQUESTS ? LoadLevel.Middle : LoadLevel.High;
}
