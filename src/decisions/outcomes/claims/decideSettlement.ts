/**
 * @module What the holder of a claim may record about its execution.
 */
import { type ClaimOutcome, type ClaimRecord, ClaimState } from "./claimRecord";

/** What the holder learned. */
export interface Settlement {
    readonly requestId: string;
    readonly state: ClaimState.Ran | ClaimState.NotRun | ClaimState.Unknown;
    /** Present for `Ran`. */
    readonly outcome?: ClaimOutcome;
}

/**
 * Decides what to write for a settlement. Only the request that holds the claim may settle it, and what is known to
 * have run, or not to have run, is never changed.
 *
 * @param existing - The row under the key, if there is one
 * @param settlement - What the holder learned
 * @returns The record to write, or `undefined` if nothing may or need be written
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
