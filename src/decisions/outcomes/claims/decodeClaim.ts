/**
 * @module Decodes claims from table rows.
 */
import { z } from "zod";
import { type ClaimRecord, ClaimState } from "./claimRecord";

const OUTCOME = z.discriminatedUnion("isInline", [
    z.object({ isInline: z.literal(true), text: z.string() }),
    z.object({ isInline: z.literal(false), objectKey: z.string() }),
]);

const RECORD = z.object({
    state: z.enum(ClaimState),
    bodyHash: z.string(),
    requestId: z.string(),
    nodeId: z.string(),
    claimedAtWallMs: z.number(),
    validUntilWallMs: z.number(),
    outcome: OUTCOME.optional(),
});

/**
 * Decodes a claim.
 *
 * @param text - The row's value
 * @returns The claim, or `undefined` if the text is not a valid claim; the outcome must then be treated as unknown
 * @example
 * const record = decodeClaim(row.value);
 */
export function decodeClaim(text: string): ClaimRecord | undefined {
    try {
        return RECORD.parse(JSON.parse(text));
    } catch {
        return undefined;
    }
}
