/**
 * @module Waits until all nodes have applied a revision.
 */
import type { Clock } from "../../../base/clock";
import type { NodeRevision } from "../../../nodes/revisionExchange";
import type { InForceReport } from "../configurationClient";
import { IN_FORCE_POLL_INTERVAL_MS } from "./constants";

/** Dependencies of `waitForRevision`. */
export interface WaitForRevisionOptions {
    readonly clock: Clock;
    /** Lists the revision that each node is known to have applied. */
    readonly listRevisions: () => readonly NodeRevision[];
}

/** Waits until all listed nodes have applied the revision, for at most `timeoutMs`, and reports the state by then. */
export async function waitForRevision(
    revision: number,
    timeoutMs: number,
    options: WaitForRevisionOptions,
): Promise<InForceReport> {
    const timeoutAtMs = options.clock.readMonotonicMs() + timeoutMs;
    for (;;) {
        const report = buildInForceReport(revision, options.listRevisions());
        if (report.isInForce || options.clock.readMonotonicMs() >= timeoutAtMs) {
            return report;
        }
        await options.clock.waitMs(IN_FORCE_POLL_INTERVAL_MS);
    }
}

function buildInForceReport(revision: number, nodes: readonly NodeRevision[]): InForceReport {
    const outdatedNodes = nodes
        .filter(node => node.revision < revision)
        .map(({ nodeId, revision: appliedRevision, isSuspect }) => ({ nodeId, revision: appliedRevision, isSuspect }))
        .sort((left, right) => left.nodeId.localeCompare(right.nodeId));
    return { revision, isInForce: outdatedNodes.length === 0, nodeCount: nodes.length, lacking: outdatedNodes };
}
