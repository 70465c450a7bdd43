/**
 * @module The failure of a body of the wrong shape.
 */
import type { z } from "zod";
import { createFailure } from "../../base/createFailure";
import { type Failure, FailureKind } from "../../base/failure";

/**
 * Creates `InvalidRequest` with every problem of a body.
 *
 * @param error - What the check found
 * @returns The failure; `details.problems` holds one line a problem
 * @example
 * createBodyFailure(parsed.error);
 */
export function createBodyFailure(error: z.ZodError): Failure {
    const problems = error.issues.map(issue => `${["body", ...issue.path].join(".")}: ${issue.message}`);
    return createFailure(FailureKind.InvalidRequest, "The body is not valid.", { details: { problems } });
}
