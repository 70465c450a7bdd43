/**
 * @module Several nodes that keep jobs in one fake store, over one fake fleet. Nodes can be killed and cut off.
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
import { createJobTask, type JobTask } from "../createJobTask";

/** One node. */
export interface JobNode {
    readonly nodeId: string;
    readonly jobs: JobTask;
    readonly execution: ExecutionTask;
    /** Ends the node as a lost VM does: nothing that it began ever comes back, and no runner hears of its end. */
    kill(): void;
    /** Cuts the node off from the store while it goes on running. */
    setCutOff(isCutOff: boolean): void;
}

/** The world. */
export interface JobWorld {
    readonly clock: ManualClock;
    readonly store: FakeStore;
    readonly fleet: FakeFleet;
    readonly nodes: readonly JobNode[];
    readonly events: string[];
}

/**
 * Creates nodes over one store and one fleet.
 *
 * @param nodeCount - How many nodes
 * @param fleetOptions - Faults of the fleet
 * @param storeOptions - Faults of the store
 * @param seed - For the nodes' polls
 * @returns The world
 * @example
 * const world = createJobWorld(2);
 */
export function createJobWorld(
    nodeCount: number,
    fleetOptions: Partial<FakeFleetOptions> = {},
    storeOptions: Partial<FakeStoreOptions> = {},
    seed = 1,
): JobWorld {
    const clock = createManualClock();
    const store = createFakeStore({ clock, ...storeOptions });
    const fleet = createFakeFleet({ clock, endpoints: 4, ...fleetOptions });
    const live = new Set<string>();
    const events: string[] = [];
    const nodes = Array.from({ length: nodeCount }, (_unused, index) => {
        const nodeId = `node-${index}`;
        live.add(nodeId);
        return createNode({ clock, store, fleet, events, live }, nodeId, seed * 100 + index);
    });
    return { clock, store, fleet, nodes, events };
}

interface NodeParts {
    readonly clock: ManualClock;
    readonly store: FakeStore;
    readonly fleet: FakeFleet;
    readonly events: string[];
    readonly live: Set<string>;
}

function createNode(parts: NodeParts, nodeId: string, seed: number): JobNode {
    const { clock, fleet, live } = parts;
    const state = { isDead: false, isCutOff: false };
    const hang = <T>(call: () => Promise<T>): Promise<T> =>
        state.isDead || state.isCutOff
            ? new Promise(() => undefined)
            : call().then(value => (state.isDead || state.isCutOff ? new Promise<T>(() => undefined) : value));
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
        setCutOff: isCutOff => {
            state.isCutOff = isCutOff;
        },
    };
}

/**
 * Builds the context of a job submitted now.
 *
 * @param world - The world
 * @param requestId - Id of the submission
 * @param changes - What differs from an idempotent job with ten minutes to its deadline
 * @returns The context
 * @example
 * node.jobs.submitJob(buildJobContext(world, "job-1"), buildChat());
 */
export function buildJobContext(
    world: JobWorld,
    requestId: string,
    changes: Partial<RequestContext> = {},
): RequestContext {
    const nowMs = world.clock.readMonotonicMs();
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
