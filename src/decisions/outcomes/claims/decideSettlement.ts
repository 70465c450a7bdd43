/**
 * @module Decides what the holder of a claim may record about the execution of its request.
 */
import { type ClaimOutcome, type ClaimRecord, ClaimState } from "./claimRecord";

/** The result that the holder of a claim records. */
export interface Settlement {
    /** The request that holds the claim. */
    readonly requestId: string;
    readonly state: ClaimState.Ran | ClaimState.NotRun | ClaimState.Unknown;
    /** Present if `state` is `Ran`. */
    readonly outcome?: ClaimOutcome;
}

/**
 * Decides what to write for a settlement. Only the request that holds the claim may settle it, and a claim recorded as
 * `Ran` or `NotRun` is never changed.
 *
 * @param existing - The claim stored under the key, if there is one
 * @param settlement - The result to record
 * @returns The record to write, or `undefined` if there is nothing to write or writing is not allowed
 * @example
 * decideSettlement(claimed, { requestId, state: ClaimState.Ran, outcome });
 */
export function decideSettlement(existing: ClaimRecord | undefined, settlement: Settlement): ClaimRecord | undefined {
    if (existing === undefined || existing.requestId !== settlement.requestId) {
        return undefined;
    }
    const isOpen = existing.state === ClaimState.Claimed || existing.state === ClaimState.Unknown;
    if (!isOpen || existing.state === settlement.state) {
        return undefined;
    }
    return { ...existing, state: settlement.state, outcome: settlement.outcome };
}
