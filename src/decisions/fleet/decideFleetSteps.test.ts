import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { createRandom } from "../../base/createRandom";
import { type VmRecord, VmRole, VmState } from "../../model/endpoint";
import { createSimulatedCloud, type SimulatedCloud } from "./_testing/createSimulatedCloud";
import { listGroups } from "./_lib/groupStatus";
import { MAXIMUM_STEPS, START_TIMEOUT_MS } from "./constants";
import { recordStopAccepted } from "./recordRefusal";
import { decideFleetSteps } from "./decideFleetSteps";
import type { DeclaredGroup } from "./fleetPlan";
import { EMPTY_FLEET_STATE, type FleetLimits, type FleetState, type FleetStep, FleetStepKind } from "./fleetState";

const LIMITS: FleetLimits = { weightLoads: 6, drainMs: 30_000 };
const TICK_MS = 5_000;
const START_MS = 1_700_000_000_000;

function createGroup(changes: Partial<DeclaredGroup> = {}): DeclaredGroup {
    return {
        serviceName: "assistant",
        version: "v1",
        region: "north",
        failureDomain: "hobart",
        machineClass: "gpu-a",
        isReclaimable: true,
        role: VmRole.ModelRunner,
        count: 2,
        unitsPerVm: 100,
        microsPerHour: 1_000,
        reason: "test",
        ...changes,
    };
}

function createVm(vmId: string, changes: Partial<VmRecord> = {}): VmRecord {
    const { serviceName, version, region, failureDomain, machineClass, isReclaimable, role } = createGroup();
    const place = { serviceName, version, region, failureDomain, machineClass, isReclaimable, role };
    return { ...place, vmId, address: "127.0.0.1", port: 1, state: VmState.Live, incarnation: 1, ...changes };
}

function createState(...groups: readonly DeclaredGroup[]): FleetState {
    return { ...EMPTY_FLEET_STATE, groups };
}

function decide(state: FleetState, vms: readonly VmRecord[], nowWallMs = START_MS, limits = LIMITS) {
    return decideFleetSteps(state, { vms, nowWallMs, limits });
}

function listKinds(steps: readonly FleetStep[]): readonly FleetStepKind[] {
    return steps.map(step => step.kind);
}

/** Runs ticks with the state stored between them. Each checks the step limit and that no group starts surplus VMs. */
function runTicks(state: FleetState, cloud: SimulatedCloud, fromMs: number, ticks: number): FleetState {
    let stored = state;
    for (let tick = 0; tick < ticks; tick++) {
        const nowMs = fromMs + tick * TICK_MS;
        const vms = cloud.listLagging(nowMs);
        const decision = decide(stored, vms, nowMs);
        assert.ok(decision.steps.length <= 2 * MAXIMUM_STEPS);
        for (const group of listGroups(decision.state, vms)) {
            const newStarts = group.starts.filter(start => start.orderedAtWallMs === nowMs).length;
            const earlierVms = group.vms.length + group.starts.length - newStarts + group.loading;
            assert.ok(newStarts <= Math.max(0, (group.declared?.count ?? 0) - earlierVms), group.id);
        }
        stored = decision.steps.reduce((next, step) => cloud.applyStep(next, step, nowMs), decision.state);
    }
    return stored;
}

function countLive(cloud: SimulatedCloud, group: DeclaredGroup, nowMs: number): number {
    return cloud
        .listNow(nowMs)
        .filter(
            vm =>
                vm.state === VmState.Live &&
                vm.failureDomain === group.failureDomain &&
                vm.version === group.version &&
                vm.serviceName === group.serviceName &&
                vm.isReclaimable === group.isReclaimable,
        ).length;
}

describe("decideFleetSteps", () => {
    it("starts missing VMs with tokens of slot and generation, and doesn't order them again while they start", () => {
        const first = decide(createState(createGroup()), []);
        assert.deepEqual(listKinds(first.steps), [FleetStepKind.Start, FleetStepKind.Start]);
        const tokens = first.state.starts.map(start => start.token);
        assert.deepEqual(tokens, [
            "fleet/assistant/v1/hobart/gpu-a/reclaimable/0/1",
            "fleet/assistant/v1/hobart/gpu-a/reclaimable/1/2",
        ]);
        const second = decide(first.state, [], START_MS + 1_000);
        assert.deepEqual(second.steps, []);
    });

    it("retries an unanswered start with the same token", () => {
        const first = decide(createState(createGroup({ count: 1 })), []);
        const again = decide(first.state, [], START_MS + 20_000);
        assert.deepEqual(
            again.steps.map(step => step.kind === FleetStepKind.Start && step.start.token),
            first.state.starts.map(start => start.token),
        );
    });

    it("orders a VM that never appeared again with a new token", () => {
        const first = decide(createState(createGroup({ count: 1 })), []);
        const later = decide(first.state, [], START_MS + START_TIMEOUT_MS);
        assert.equal(later.state.starts.length, 1);
        assert.notEqual(later.state.starts[0]?.token, first.state.starts[0]?.token);
    });

    it("probes an offer with a single start after a refusal", () => {
        const group = createGroup({ count: 5 });
        const refusals = { "hobart/gpu-a/reclaimable": { count: 1, untilWallMs: START_MS } };
        assert.equal(decide({ ...createState(group), refusals }, [], START_MS - 1).steps.length, 0);
        const probed = decide({ ...createState(group), refusals }, [], START_MS);
        assert.equal(probed.state.starts.length, 1);
        assert.equal(decide(probed.state, [], START_MS + 1).state.starts.length, 1);
        assert.equal(decide({ ...probed.state, refusals: {} }, [], START_MS + 1).state.starts.length, 5);
    });

    it("limits concurrent weight loads and serves the service with the largest shortage first", () => {
        const lacking = createGroup({ serviceName: "digest", count: 10 });
        const served = createGroup({ count: 10 });
        const vms = Array.from({ length: 8 }, (_unused, index) => createVm(`vm-${index}`));
        const { state } = decide(createState(served, lacking), vms);
        assert.equal(state.starts.length, LIMITS.weightLoads);
        assert.ok(state.starts.every(start => start.serviceName === "digest"));
    });

    it("drains and then stops surplus VMs, but none while the service has missing VMs", () => {
        const vms = ["vm-1", "vm-2", "vm-3"].map(id => createVm(id));
        const lacking = decide(createState(createGroup(), createGroup({ failureDomain: "burnie", count: 1 })), vms);
        assert.deepEqual(listKinds(lacking.steps), [FleetStepKind.Start]);
        const drained = decide(createState(createGroup()), vms);
        assert.deepEqual(listKinds(drained.steps), [FleetStepKind.Drain]);
        assert.deepEqual(
            drained.state.stops.map(stop => stop.vmId),
            ["vm-3"],
        );
        const stopped = decide(drained.state, vms, START_MS + LIMITS.drainMs);
        assert.deepEqual(listKinds(stopped.steps), [FleetStepKind.Stop]);
    });

    it("retries an order to stop until the cloud accepts it, even if the VM is no longer listed", () => {
        const vms = ["vm-1", "vm-2", "vm-3"].map(id => createVm(id));
        const drained = decide(createState(createGroup()), vms);
        const stopAtMs = START_MS + LIMITS.drainMs;
        const repeated = decide(drained.state, vms, stopAtMs - 1_000);
        assert.deepEqual(listKinds(repeated.steps), [FleetStepKind.Drain]);
        const first = decide(repeated.state, vms.slice(0, 2), stopAtMs);
        assert.deepEqual(listKinds(first.steps), [FleetStepKind.Stop]);
        const again = decide(first.state, vms.slice(0, 2), stopAtMs + 600_000);
        assert.deepEqual(listKinds(again.steps), [FleetStepKind.Stop]);
        const taken = decide(recordStopAccepted(again.state, "vm-3"), vms.slice(0, 2), stopAtMs + 700_000);
        assert.deepEqual([taken.steps, taken.state.stops], [[], []]);
    });

    it("leaves VMs of undeclared services alone", () => {
        const vms = [
            createVm("vm-1", { serviceName: "other" }),
            createVm("vm-2", { role: VmRole.Node, serviceName: undefined }),
        ];
        assert.deepEqual(decide(createState(createGroup({ count: 0 })), vms).steps, []);
    });

    it("loads the missing version on VMs of a retired version after the drain time, but never on a leaving VM", () => {
        const vms = [createVm("vm-1"), createVm("vm-2", { state: VmState.Leaving })];
        const state = createState(createGroup({ version: "v2" }));
        const limits = { ...LIMITS, weightLoads: 0 };
        const retired = decide(state, vms, START_MS, limits);
        assert.deepEqual(retired.steps, []);
        const loaded = decide(retired.state, vms, START_MS + LIMITS.drainMs);
        assert.deepEqual(listKinds(loaded.steps), [FleetStepKind.Start, FleetStepKind.Load]);
        assert.deepEqual(
            loaded.state.loads.map(load => load.vmId),
            ["vm-1"],
        );
        const afterLeaving = decide(
            loaded.state,
            [{ ...vms[0]!, state: VmState.Leaving }],
            START_MS + LIMITS.drainMs + 20_000,
        );
        assert.equal(
            afterLeaving.steps.some(step => step.kind === FleetStepKind.Load),
            false,
        );
    });

    it("keeps the VMs of both versions while both are declared", () => {
        const vms = [createVm("vm-1"), createVm("vm-2", { version: "v2" })];
        const state = createState(createGroup({ count: 1 }), createGroup({ version: "v2", count: 1 }));
        assert.deepEqual(decide(state, vms).steps, []);
    });

    it("converges from random states within 160 ticks, with a lagging list and lost answers", () => {
        const domains = ["hobart", "launceston", "burnie"];
        fc.assert(
            fc.property(
                fc.integer(),
                fc.array(fc.integer({ min: 0, max: 12 }), { minLength: 3, maxLength: 3 }),
                fc.array(fc.integer({ min: 0, max: 12 }), { minLength: 3, maxLength: 3 }),
                (seed, counts, present) => {
                    const random = createRandom(seed);
                    const cloud = createSimulatedCloud({
                        random,
                        listLagMs: 7_000,
                        startMs: 20_000,
                        lostAnswerRate: 0.3,
                    });
                    const groups = domains.map((failureDomain, index) =>
                        createGroup({ failureDomain, count: counts[index]! }),
                    );
                    present.forEach((count, index) =>
                        Array.from({ length: count }, (_unused, each) =>
                            cloud.addVm(
                                createVm(`old-${index}-${each}`, {
                                    failureDomain: domains[index]!,
                                    version: random.drawInteger(0, 1) === 0 ? "v0" : "v1",
                                }),
                            ),
                        ),
                    );
                    const ticks = 160;
                    const state = runTicks(createState(...groups), cloud, START_MS, ticks);
                    const endMs = START_MS + ticks * TICK_MS;
                    groups.forEach(group => assert.equal(countLive(cloud, group, endMs), group.count));
                    assert.equal(cloud.listNow(endMs).filter(vm => vm.version === "v0").length, 0);
                    assert.deepEqual([state.starts, state.loads], [[], []]);
                },
            ),
            { seed: 21, numRuns: 60 },
        );
    });

    it("converges again after reclaim waves when a node dies between storing the state and taking the steps", () => {
        for (let seed = 0; seed < 20; seed++) {
            const random = createRandom(seed);
            const cloud = createSimulatedCloud({ random, listLagMs: 5_000, startMs: 20_000, lostAnswerRate: 0.2 });
            const groups = ["hobart", "launceston", "burnie"].map(failureDomain =>
                createGroup({ failureDomain, count: 6 }),
            );
            let state = createState(...groups);
            let nowMs = START_MS;
            for (let wave = 0; wave < 3; wave++) {
                state = runTicks(state, cloud, nowMs, 60);
                nowMs += 60 * TICK_MS;
                const domain = groups[random.drawInteger(0, 2)]!.failureDomain;
                cloud.reclaim(vm => vm.failureDomain === domain, nowMs, 10_000);
                // The node dies: its decision is stored, but none of the steps is taken.
                state = decide(state, cloud.listLagging(nowMs), nowMs).state;
            }
            runTicks(state, cloud, nowMs, 160);
            nowMs += 160 * TICK_MS;
            groups.forEach(group => assert.equal(countLive(cloud, group, nowMs), 6, `seed ${seed}`));
        }
    });
});
