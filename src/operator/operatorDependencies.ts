/**
 * @module What the operators' queries and commands are built from.
 */
import type { Clock } from "../base/clock";
import type { DumpSource } from "../base/dump";
import type { Placement } from "../model/endpoint";
import type { RevisionExchange } from "../nodes/revisionExchange";
import type { ConfigurationClient } from "../tasks/configuration/configurationClient";
import type { DirectoryClient } from "../tasks/directory/directoryClient";
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
    /** Every task that shows its state; asked anew for each dump. */
    readonly listDumpSources: () => readonly DumpSource[];
}
