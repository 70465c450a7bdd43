/**
 * @module Whether the tokens of a job are worth being kept outside of the node.
 */

/** What a checkpoint costs and saves. */
export interface CheckpointCosts {
    /** Tokens generated since the last checkpoint. */
    readonly tokensSinceCheckpoint: number;
    /** Chance that the node is lost before the next occasion, 0 to 1; 1 when the job is handed over. */
    readonly lossChance: number;
    /** Millionths of the currency per 1,000 tokens generated. */
    readonly microsPerThousandTokens: number;
    /** Price of writing an object, in millionths of the currency. */
    readonly writeMicros: number;
    /** Whether the answer could not be generated again before the deadline. */
    readonly isLossFatal: boolean;
    /** What a job that fails at its deadline is taken to cost, in millionths of the currency. */
    readonly missMicros: number;
}

/**
 * Decides by price: the expected loss without a checkpoint against the price of one.
 *
 * @param terms - Costs and chances
 * @returns Whether to write a checkpoint
 * @example
 * decideCheckpoint({ ...terms, lossChance: 1 }); //=> true
 */
export function decideCheckpoint(terms: CheckpointCosts): boolean {
    if (terms.tokensSinceCheckpoint === 0) {
        return false;
    }
    const recomputeMicros = (terms.tokensSinceCheckpoint / 1_000) * terms.microsPerThousandTokens;
    const lossMicros = recomputeMicros + (terms.isLossFatal ? terms.missMicros : 0);
    return terms.lossChance * lossMicros > terms.writeMicros;
}
