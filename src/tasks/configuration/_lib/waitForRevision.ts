/**
 * @module Waiting until a revision is in force everywhere.
 */
import type { Clock } from "../../../base/clock";
import type { NodeRevision } from "../../../nodes/revisionExchange";
import type { InForceReport } from "../configurationClient";
import { IN_FORCE_CHECK_MS } from "./constants";

/** What the wait needs. */
export interface WaitOptions {
    readonly clock: Clock;
    readonly listRevisions: () => readonly NodeRevision[];
}

/** Waits until all listed nodes show the revision, at most `timeoutMs`, and reports what is known then. */
export async function waitForRevision(
    revision: number,
    timeoutMs: number,
    options: WaitOptions,
): Promise<InForceReport> {
    const endAtMs = options.clock.readMonotonicMs() + timeoutMs;
    for (;;) {
        const report = buildReport(revision, options.listRevisions());
        if (report.isInForce || options.clock.readMonotonicMs() >= endAtMs) {
            return report;
        }
        await options.clock.waitMs(IN_FORCE_CHECK_MS);
    }
}

function buildReport(revision: number, nodes: readonly NodeRevision[]): InForceReport {
    const lacking = nodes
        .filter(node => node.revision < revision)
        .map(({ nodeId, revision: shown, isSuspect }) => ({ nodeId, revision: shown, isSuspect }))
        .sort((left, right) => left.nodeId.localeCompare(right.nodeId));
    return { revision, isInForce: lacking.length === 0, nodeCount: nodes.length, lacking };
}
