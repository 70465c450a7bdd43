/**
 * @module The version task's interface for other tasks.
 */
import type { AttemptReport } from "../routing/routingClient";
import type { AttemptFacts } from "../routing/createRoutingTask";

/** Client of the version task. */
export interface VersionClient {
    /**
     * Whether a version is braked, that is, this node sends it no requests: this node or another one has found it
     * faulty, or the move to it has passed its deadline without being done.
     */
    isBraked(serviceName: string, version: string): boolean;
    /** Adds a report about an attempt to the evidence. Never blocks. */
    observeReport(report: AttemptReport, facts: AttemptFacts): void;
}
