/**
 * @module Reads fault rules posted to a stand-in.
 */
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { createFailure } from "../../base/createFailure";
import { type Failure, FailureKind } from "../../base/failure";
import { FaultKind, type FaultRule } from "../fault";

const count = z.number().int().nonnegative().optional();
const ruleSchema = z.strictObject({
    kind: z.enum(FaultKind),
    route: z.string().optional(),
    version: z.string().optional(),
    failureDomain: z.string().optional(),
    promptText: z.string().min(1).optional(),
    share: z.number().min(0).max(1).optional(),
    times: count,
    afterMs: z.number().nonnegative().optional(),
    minimumRunning: count,
    afterTokens: count,
    delayMs: z.number().nonnegative().optional(),
});
const bodySchema = z.strictObject({ faults: z.array(ruleSchema) });

/**
 * Parses the body of `POST /faults`.
 *
 * @param body - JSON: `{ "faults": [{ "kind": "slow", "delayMs": 100 }] }`
 * @returns The rules, or an `InvalidRequest` that names what is wrong
 * @example
 * parseFaults(Buffer.from('{"faults":[]}')); //=> ok([])
 */
export function parseFaults(body: Buffer): Result<readonly FaultRule[], Failure> {
    let value: unknown;
    try {
        value = JSON.parse(body.toString("utf8"));
    } catch {
        return err(createFailure(FailureKind.MalformedBody, "The body is not JSON."));
    }
    const parsed = bodySchema.safeParse(value);
    return parsed.success
        ? ok(parsed.data.faults)
        : err(createFailure(FailureKind.InvalidRequest, z.prettifyError(parsed.error)));
}
