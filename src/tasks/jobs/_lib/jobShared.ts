/**
 * @module What the parts of the job task share.
 */
import type { Clock } from "../../../base/clock";
import type { Random } from "../../../base/createRandom";
import type { Metrics } from "../../../base/metrics/metrics";
import type { JobRecord, OpenJob, Versioned } from "../../../decisions/outcomes/jobs/jobRecord";
import type { ChatRequest } from "../../../model/request";
import type { ObjectsPort } from "../../../ports/objects";
import type { TablePort } from "../../../ports/table";
import type { CommitClient } from "../../claims/commitClient";
import type { ChatExecution, ExecutionClient } from "../../execution/executionClient";
import type { LeaseClient } from "../../leases/leaseClient";
import type { BodyWriter } from "./createBodyWriter";
import type { NodeLease } from "./createNodeLease";

/** What the job task needs. */
export interface JobTaskOptions {
    readonly nodeId: string;
    readonly table: TablePort;
    readonly objects: ObjectsPort;
    readonly commits: CommitClient;
    readonly leases: LeaseClient;
    readonly execution: ExecutionClient;
    readonly clock: Clock;
    readonly random: Random;
    /** Ids of the nodes believed alive; a hint only. */
    readonly listLiveNodeIds: () => readonly string[];
    readonly reportEvent: (name: string, details: Readonly<Record<string, unknown>>) => void;
    readonly metrics?: Metrics;
}

/** What a caller asked for, as kept in the object store. */
export interface JobBody {
    readonly chat: ChatRequest;
    readonly idempotencyKey?: string;
}

/** A job that this node works on. */
export interface JobRun {
    readonly job: Versioned<JobRecord>;
    readonly open: Versioned<OpenJob>;
    /** Present where this node accepted the job itself. */
    readonly body?: JobBody;
    /** Tokens of the answer so far. */
    texts: string[];
    chat: ChatExecution | undefined;
    /** Set when the job was cancelled, or given up by this node. */
    isStopped: boolean;
    /** Set once its execution has ended and its end is being written. */
    isEnding: boolean;
}

/** State of the job task. */
export interface JobShared {
    readonly options: JobTaskOptions;
    readonly lease: NodeLease;
    readonly bodies: BodyWriter;
    readonly runs: Map<string, JobRun>;
    /** Jobs held and not begun, because enough others are running. */
    readonly waiting: JobRun[];
    readonly counts: {
        accepted: number;
        taken: number;
        adopted: number;
        ended: number;
        lost: number;
        checkpoints: number;
        cleaned: number;
    };
    /** Leases of other nodes that this node waits for. */
    readonly adopting: Set<string>;
    /** Jobs being stored. */
    waitingAcceptances: number;
    isDraining: boolean;
    isDisposed: boolean;
}
