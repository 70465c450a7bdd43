/**
 * @module How a failed command tells why.
 */
import type { Failure } from "../../base/failure";

/**
 * Formats a failure: its kind and message on one line, then one line for each problem.
 *
 * @param failure - The failure
 * @param isJson - Whether to give one line of JSON with all details
 * @returns The text, without a newline at its end
 * @example
 * formatFailure(createFailure(FailureKind.NotFound, "There is no class x."), false);
 */
export function formatFailure(failure: Failure, isJson: boolean): string {
    const { kind, message, execution, retryAfterMs, details } = failure;
    if (isJson) {
        return JSON.stringify({ error: { type: kind, message, execution, retryAfterMs, details } });
    }
    const problems = Array.isArray(details?.["problems"]) ? (details["problems"] as readonly unknown[]) : [];
    return [`${kind}: ${message}${formatPresent(details)}`, ...problems.map(problem => `  ${String(problem)}`)].join(
        "\n",
    );
}

/** For a lost race, what is there now. */
function formatPresent(details: Failure["details"]): string {
    const items = details?.["items"];
    return Array.isArray(items) ? ` Now: ${JSON.stringify(items)}` : "";
}
