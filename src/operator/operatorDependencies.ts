/**
 * @module What the operators' queries and commands are built from.
 */
import type { Clock } from "../base/clock";
import type { DumpSource } from "../base/dump";
import type { Placement } from "../model/endpoint";
import type { RevisionExchange } from "../nodes/revisionExchange";
import type { ConfigurationClient } from "../tasks/configuration/configurationClient";
import type { DirectoryClient } from "../tasks/directory/directoryClient";
import type { FleetClient } from "../tasks/fleet/fleetClient";
import type { JobClient } from "../tasks/jobs/jobClient";

/** Handles and facts that the queries and commands use. */
export interface OperatorDependencies {
    readonly clock: Clock;
    /** This node. */
    readonly node: Placement & {
        readonly nodeId: string;
        readonly vmId: string;
        /** Version of the program. */
        readonly programVersion: string;
    };
    /** Whether this node takes callers. */
    readonly isReady: () => boolean;
    readonly configuration: ConfigurationClient;
    readonly directory: DirectoryClient;
    readonly nodes: Pick<RevisionExchange, "listRevisions">;
    readonly jobs: Pick<JobClient, "readJob" | "listJobs" | "cancelJob">;
    /** Absent where this node has no capacity file and so doesn't manage the fleet. */
    readonly fleet?: Pick<FleetClient, "readPlan">;
    /** Every task that shows its state; asked anew for each dump. */
    readonly listDumpSources: () => readonly DumpSource[];
}
