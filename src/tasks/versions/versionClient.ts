/**
 * @module How other tasks talk to the version task.
 */
import type { AttemptReport } from "../routing/routingClient";
import type { ReportFacts } from "../routing/createRoutingTask";

/** Handle of the version task. */
export interface VersionClient {
    /**
     * Whether this node gives a version nothing: it has braked it, another node has told of a fault, or the move to it
     * has passed its time without being done.
     */
    isBraked(serviceName: string, version: string): boolean;
    /** Takes a report about an attempt into the evidence. Never waits. */
    observeReport(report: AttemptReport, facts: ReportFacts): void;
}
