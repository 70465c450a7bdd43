/**
 * @module Decides whether storing a job's generated tokens outside the node is worth the cost.
 */

/** The cost of a checkpoint, and the loss that it prevents. */
export interface CheckpointCosts {
    /** Tokens generated since the previous checkpoint. */
    readonly tokensSinceCheckpoint: number;
    /** Probability from 0 to 1 that the node is lost before the next opportunity; 1 when the job is handed over. */
    readonly lossChance: number;
    /** Price of generating 1,000 tokens, in millionths of the currency. */
    readonly microsPerThousandTokens: number;
    /** Price of writing an object, in millionths of the currency. */
    readonly writeMicros: number;
    /** Whether there is no time to generate the answer again before the deadline. */
    readonly isLossFatal: boolean;
    /** Assumed cost of a job that misses its deadline, in millionths of the currency. */
    readonly missMicros: number;
}

/**
 * Decides whether to write a checkpoint: if the expected loss without it exceeds its price.
 *
 * @param costs - Costs and probability of a loss
 * @returns Whether to write a checkpoint
 * @example
 * decideCheckpoint({ ...costs, lossChance: 1 }); //=> true
 */
export function decideCheckpoint(costs: CheckpointCosts): boolean {
    if (costs.tokensSinceCheckpoint === 0) {
        return false;
    }
    const recomputeMicros = (costs.tokensSinceCheckpoint / 1_000) * costs.microsPerThousandTokens;
    const lossMicros = recomputeMicros + (costs.isLossFatal ? costs.missMicros : 0);
    return costs.lossChance * lossMicros > costs.writeMicros;
}
