/**
 * @module Many nodes with the real membership task over a network in memory, for tests and measurements.
 */
import { createManualClock, type ManualClock } from "../../base/createManualClock";
import { createRandom } from "../../base/createRandom";
import type { Failure } from "../../base/failure";
import { type Placement, type VmRecord, VmRole, VmState } from "../../model/endpoint";
import { createMembershipTask, type MembershipTask } from "../../tasks/membership/createMembershipTask";
import { createFakeNetwork, type FakeHost, type FakeNetwork } from "./createFakeNetwork";

const STEP_MS = 10;
const TURNS_PER_STEP = 3;

/** What is simulated. */
export interface SimulationOptions {
    readonly nodeCount: number;
    readonly regionCount?: number;
    readonly domainsPerRegion?: number;
    readonly seed?: number;
}

/** A simulated node. */
export interface SimulatedNode {
    readonly nodeId: string;
    readonly place: Placement;
    readonly host: FakeHost;
    readonly membership: MembershipTask;
}

/** The simulated nodes, their clock and their network. */
export interface Simulation {
    readonly clock: ManualClock;
    readonly network: FakeNetwork;
    readonly nodes: SimulatedNode[];
    /** What the nodes' tasks reported as failed. */
    readonly failures: readonly Failure[];
    /** Starts a further node, or a new process under an earlier node's id. */
    addNode(nodeId: string, place: Placement): SimulatedNode;
    /** Lets time pass, and every task act in it. */
    runFor(durationMs: number): Promise<void>;
    /** Lets time pass until the condition holds; gives the milliseconds that took, or `undefined` after `limitMs`. */
    runUntil(isReached: () => boolean, limitMs: number): Promise<number | undefined>;
    dispose(): void;
}

/** Starts the nodes. Regions are 30 ms apart, failure domains of a region 1 ms. */
export function createSimulation(options: SimulationOptions): Simulation {
    const clock = createManualClock();
    const random = createRandom(options.seed ?? 1);
    const regions = new Map<string, string>();
    const delayMs = (from: string, to: string) => (regions.get(from) === regions.get(to) ? 1 : 30);
    const network = createFakeNetwork({ clock, random, delayMs });
    const nodes: SimulatedNode[] = [];
    const vms: VmRecord[] = [];
    const failures: Failure[] = [];

    const addNode = (nodeId: string, place: Placement): SimulatedNode => {
        const host = network.addHost(nodeId);
        regions.set(nodeId, place.region);
        vms.push(createVm(nodeId, place, host));
        const membership = createMembershipTask({
            nodeId,
            self: { ...host.address, ...place },
            transport: host.transport,
            clock: host.clock,
            random: createRandom(random.drawInteger(1, 1_000_000)),
            reportFailure: (_name, failure) => failures.push(failure),
            directory: { listVms: () => [...vms], subscribeChanges: () => () => undefined },
        });
        const node = { nodeId, place, host, membership };
        nodes.push(node);
        return node;
    };
    const takeStep = async () => {
        clock.advanceMs(STEP_MS);
        for (let turn = 0; turn < TURNS_PER_STEP; turn++) {
            await new Promise(resolve => setImmediate(resolve));
        }
    };
    const runUntil = async (isReached: () => boolean, limitMs: number) => {
        const startedMs = clock.readMonotonicMs();
        while (clock.readMonotonicMs() - startedMs < limitMs) {
            if (isReached()) {
                return clock.readMonotonicMs() - startedMs;
            }
            await takeStep();
        }
        return isReached() ? limitMs : undefined;
    };
    for (let index = 0; index < options.nodeCount; index++) {
        addNode(`node-${index}`, choosePlace(index, options));
    }
    return {
        clock,
        network,
        nodes,
        failures,
        addNode,
        runFor: async durationMs => {
            await runUntil(() => false, durationMs);
        },
        runUntil,
        dispose: () => nodes.forEach(node => node.membership.dispose()),
    };
}

function choosePlace(index: number, options: SimulationOptions): Placement {
    const regionCount = options.regionCount ?? 3;
    const region = index % regionCount;
    const domain = Math.floor(index / regionCount) % (options.domainsPerRegion ?? 3);
    return { region: `region-${region}`, failureDomain: `region-${region}-domain-${domain}` };
}

function createVm(nodeId: string, place: Placement, host: FakeHost): VmRecord {
    return {
        vmId: nodeId,
        role: VmRole.Node,
        ...host.address,
        ...place,
        state: VmState.Live,
        machineClass: "node",
        isReclaimable: true,
        incarnation: 1,
    };
}
