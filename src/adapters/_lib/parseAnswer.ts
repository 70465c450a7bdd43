/**
 * @module Reads the JSON of an answer.
 */
import type { z } from "zod";

/**
 * Parses an answer's body against a schema.
 *
 * @param body - The body, or its text
 * @param schema - What it must be
 * @returns The value; `undefined` if the body is not JSON or does not fit the schema
 * @example
 * parseAnswer(Buffer.from('{"vmId":"vm-1"}'), z.object({ vmId: z.string() }))?.vmId; //=> "vm-1"
 */
export function parseAnswer<T>(body: Buffer | string, schema: z.ZodType<T>): T | undefined {
    try {
        const parsed = schema.safeParse(JSON.parse(body.toString()));
        return parsed.success ? parsed.data : undefined;
    } catch {
        return undefined;
    }
}
