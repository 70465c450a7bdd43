/**
 * @module State that the functions of the job task share.
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

/** Dependencies of the job task. */
export interface JobTaskOptions {
    readonly nodeId: string;
    readonly table: TablePort;
    readonly objects: ObjectsPort;
    readonly commits: CommitClient;
    readonly leases: LeaseClient;
    readonly execution: ExecutionClient;
    readonly clock: Clock;
    readonly random: Random;
    /** Ids of the nodes believed alive. The list may be outdated, so it must not decide who holds a job. */
    readonly listLiveNodeIds: () => readonly string[];
    readonly reportEvent: (name: string, details: Readonly<Record<string, unknown>>) => void;
    readonly metrics?: Metrics;
}

/** The caller's request, as stored in the object store. */
export interface JobBody {
    readonly chat: ChatRequest;
    readonly idempotencyKey?: string;
}

/** A job that this node executes. */
export interface JobRun {
    readonly job: Versioned<JobRecord>;
    readonly open: Versioned<OpenJob>;
    /** Present if this node accepted the job itself; otherwise it is read from the object store. */
    readonly body?: JobBody;
    /** Texts of the tokens generated so far. */
    texts: string[];
    /** The current or last execution; `undefined` until the first one starts. */
    chat: ChatExecution | undefined;
    /** Set when the job was cancelled, or this node no longer holds it. */
    isStopped: boolean;
    /** Set once the execution has ended and the final state of the job is being written. */
    isEnding: boolean;
}

/** State of the job task. */
export interface SharedJobState {
    readonly options: JobTaskOptions;
    readonly lease: NodeLease;
    readonly bodies: BodyWriter;
    /** Jobs being executed, by job id. */
    readonly runs: Map<string, JobRun>;
    /** Jobs that this node holds but has not started, because `MAXIMUM_RUNNING_JOBS` are running. */
    readonly waiting: JobRun[];
    /** Totals since the start of the task. */
    readonly counts: {
        accepted: number;
        /** Jobs without a holder that this node has taken. */
        taken: number;
        /** Leases of other nodes that this node has taken over to release their jobs. */
        adopted: number;
        ended: number;
        /** Jobs whose final state was not recorded because another node had ended or taken them. */
        lost: number;
        /** Checkpoints written. */
        checkpoints: number;
        /** Jobs removed after their retention. */
        cleaned: number;
    };
    /** Names of other nodes' leases that this node is trying to acquire. */
    readonly pendingTakeovers: Set<string>;
    /** Number of submitted jobs that are still being stored. */
    pendingSubmissions: number;
    isDraining: boolean;
    isDisposed: boolean;
}
