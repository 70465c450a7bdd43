/**
 * @module A test cluster: several nodes that share a fake store and a fake fleet of model runners. Nodes can be killed
 * or partitioned from the store.
 */
import { createManualClock, type ManualClock } from "../../../base/createManualClock";
import { createRandom } from "../../../base/createRandom";
import type { RequestContext } from "../../../model/request";
import type { ObjectsPort } from "../../../ports/objects";
import type { TablePort } from "../../../ports/table";
import { createClaimTask } from "../../claims/createClaimTask";
import { createGroupCommitTask } from "../../claims/createGroupCommitTask";
import { createFakeFleet, type FakeFleet, type FakeFleetOptions } from "../../execution/_testing/createFakeFleet";
import { createFakeStore, type FakeStore, type FakeStoreOptions } from "../../execution/_testing/createFakeStore";
import { createExecutionTask, type ExecutionTask } from "../../execution/createExecutionTask";
import { createLeaseTask } from "../../leases/createLeaseTask";
import { createMetricsRecorder, type MetricsRecorder } from "../../metrics/_testing/createMetricsRecorder";
import { createJobTask, type JobTask } from "../createJobTask";

/** A node of the test cluster. */
export interface JobNode {
    readonly nodeId: string;
    readonly jobs: JobTask;
    readonly execution: ExecutionTask;
    /** Ends the node as the loss of its VM would: its pending calls never complete, and no runner is told. */
    kill(): void;
    /** Partitions the node from the store, or reconnects it, while it keeps running. */
    setPartitioned(isPartitioned: boolean): void;
}

/** The test cluster. */
export interface JobCluster {
    readonly clock: ManualClock;
    readonly store: FakeStore;
    readonly fleet: FakeFleet;
    readonly nodes: readonly JobNode[];
    /** Names of the events that the nodes have reported. */
    readonly events: string[];
    /** What the nodes have measured. */
    readonly metrics: MetricsRecorder;
}

/**
 * Creates nodes that share one store and one fleet.
 *
 * @param nodeCount - Number of nodes
 * @param fleetOptions - Faults and other settings of the fleet
 * @param storeOptions - Faults and other settings of the store
 * @param seed - Seed of the nodes' random number generators
 * @returns The cluster
 * @example
 * const cluster = createJobCluster(2);
 */
export function createJobCluster(
    nodeCount: number,
    fleetOptions: Partial<FakeFleetOptions> = {},
    storeOptions: Partial<FakeStoreOptions> = {},
    seed = 1,
): JobCluster {
    const clock = createManualClock();
    const store = createFakeStore({ clock, ...storeOptions });
    const fleet = createFakeFleet({ clock, endpoints: 4, ...fleetOptions });
    const live = new Set<string>();
    const events: string[] = [];
    const metrics = createMetricsRecorder();
    const nodes = Array.from({ length: nodeCount }, (_unused, index) => {
        const nodeId = `node-${index}`;
        live.add(nodeId);
        return createNode({ clock, store, fleet, events, metrics, live }, nodeId, seed * 100 + index);
    });
    return { clock, store, fleet, nodes, events, metrics };
}

interface NodeParts {
    readonly clock: ManualClock;
    readonly store: FakeStore;
    readonly fleet: FakeFleet;
    readonly events: string[];
    readonly metrics: MetricsRecorder;
    readonly live: Set<string>;
}

function createNode(parts: NodeParts, nodeId: string, seed: number): JobNode {
    const { clock, fleet, live } = parts;
    const state = { isDead: false, isPartitioned: false };
    // Leaves calls of a dead or partitioned node pending for ever.
    const hang = <T>(call: () => Promise<T>): Promise<T> =>
        state.isDead || state.isPartitioned
            ? new Promise(() => undefined)
            : call().then(value => (state.isDead || state.isPartitioned ? new Promise<T>(() => undefined) : value));
    const table: TablePort = {
        readRow: key => hang(() => parts.store.table.readRow(key)),
        listRows: (prefix, page) => hang(() => parts.store.table.listRows(prefix, page)),
        commitTransaction: transaction => hang(() => parts.store.table.commitTransaction(transaction)),
    };
    const objects: ObjectsPort = {
        writeObject: (key, body) => hang(() => parts.store.objects.writeObject(key, body)),
        readObject: (key, range) => hang(() => parts.store.objects.readObject(key, range)),
        deleteObject: key => hang(() => parts.store.objects.deleteObject(key)),
        listObjects: (prefix, page) => hang(() => parts.store.objects.listObjects(prefix, page)),
    };
    const routing = {
        ...fleet.routing,
        chooseEndpoint: (query: Parameters<typeof fleet.routing.chooseEndpoint>[0]) =>
            state.isDead ? new Promise<never>(() => undefined) : fleet.routing.chooseEndpoint(query),
    };
    const commits = createGroupCommitTask({ table, clock });
    const claims = createClaimTask({ nodeId, table, objects, commits, clock });
    const { admission, models, applications } = fleet;
    const reportEvent = (name: string) => void parts.events.push(name);
    const execution = createExecutionTask({ admission, routing, models, applications, claims, clock, reportEvent });
    const leases = createLeaseTask({ nodeId, table, clock });
    const jobs = createJobTask({
        nodeId,
        table,
        objects,
        commits,
        leases,
        execution,
        clock,
        random: createRandom(seed),
        listLiveNodeIds: () => [...live],
        reportEvent,
        metrics: parts.metrics,
    });
    return {
        nodeId,
        jobs,
        execution,
        kill: () => {
            state.isDead = true;
            live.delete(nodeId);
            leases.dispose();
            jobs.dispose();
        },
        setPartitioned: isPartitioned => {
            state.isPartitioned = isPartitioned;
        },
    };
}

/**
 * Builds the request context of a job that is submitted now.
 *
 * @param cluster - Cluster whose clock gives the current time
 * @param requestId - Id of the submission
 * @param changes - Fields that differ from those of an idempotent job with a deadline in ten minutes
 * @returns The context
 * @example
 * node.jobs.submitJob(buildJobContext(cluster, "job-1"), buildChatRequest());
 */
export function buildJobContext(
    cluster: JobCluster,
    requestId: string,
    changes: Partial<RequestContext> = {},
): RequestContext {
    const nowMs = cluster.clock.readMonotonicMs();
    return {
        requestId,
        accountName: "depot",
        className: "digest",
        isIdempotent: true,
        acceptedAtMs: nowMs,
        firstTokenDueAtMs: nowMs + 5_000,
        deadlineAtMs: nowMs + 600_000,
        ...changes,
    };
}
