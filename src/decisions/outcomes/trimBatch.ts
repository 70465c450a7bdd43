/**
 * @module Merges the token batches of several attempts into one answer.
 */
import type { AttemptId, TokenBatch } from "../../model/request";

/** How a received batch relates to the tokens already delivered. */
export enum BatchVerdict {
    /** All of it is new. */
    Accepted = "accepted",
    /** Its first tokens were already delivered and are removed. */
    Trimmed = "trimmed",
    /** All of it was already delivered. */
    Repeated = "repeated",
    /** It belongs to another request or attempt. */
    Foreign = "foreign",
    /** Tokens are missing between the delivered ones and this batch. */
    Gap = "gap",
    /** Its text differs from the text already delivered at the same positions. */
    Contradicts = "contradicts",
    /** It contains no tokens. */
    Empty = "empty",
}

/** The verdict on a batch and the token texts to deliver, empty unless `Accepted` or `Trimmed`. */
export interface TrimmedBatch {
    readonly verdict: BatchVerdict;
    readonly texts: readonly string[];
}

/**
 * Decides which texts of a batch continue the answer. This keeps the caller's stream in order, free of gaps and
 * repeats, and limited to tokens of its own request.
 *
 * @param delivered - The texts that the caller already has, one per token
 * @param expected - Id of the attempt that was sent
 * @param received - Id that the batch carries
 * @param batch - The batch
 * @returns The verdict and the texts to deliver
 * @example
 * trimBatch(["a"], id, id, { offset: 0, texts: ["a", "b"] }); //=> { verdict: "trimmed", texts: ["b"] }
 */
export function trimBatch(
    delivered: readonly string[],
    expected: AttemptId,
    received: AttemptId,
    batch: TokenBatch,
): TrimmedBatch {
    if (received.requestId !== expected.requestId || received.attempt !== expected.attempt) {
        return { verdict: BatchVerdict.Foreign, texts: [] };
    }
    if (batch.texts.length === 0) {
        return { verdict: BatchVerdict.Empty, texts: [] };
    }
    const overlap = delivered.length - batch.offset;
    if (overlap < 0 || batch.offset < 0 || !Number.isInteger(batch.offset)) {
        return { verdict: BatchVerdict.Gap, texts: [] };
    }
    if (overlap === 0) {
        return { verdict: BatchVerdict.Accepted, texts: batch.texts };
    }
    const isSame = batch.texts.slice(0, overlap).every((text, index) => text === delivered[batch.offset + index]);
    if (!isSame) {
        return { verdict: BatchVerdict.Contradicts, texts: [] };
    }
    const texts = batch.texts.slice(overlap);
    return { verdict: texts.length === 0 ? BatchVerdict.Repeated : BatchVerdict.Trimmed, texts };
}
