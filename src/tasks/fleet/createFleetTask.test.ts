import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { err, ok } from "neverthrow";
import { createFailure } from "../../base/createFailure";
import { createManualClock } from "../../base/createManualClock";
import { Execution, FailureKind } from "../../base/failure";
import { createEmptyConfiguration } from "../../decisions/configuration/createEmptyConfiguration";
import { type Configuration, ServiceKind } from "../../model/configuration";
import { type VmRecord, VmState } from "../../model/endpoint";
import { createFakeTable, type FakeTableClient, TableFault } from "../../nodes/_testing/createFakeTable";
import { runClock, runUntilSettled } from "../../nodes/_testing/runClock";
import type { CloudPort, VmStartRequest, VmPrice } from "../../ports/cloud";
import { createLeaseTask } from "../leases/createLeaseTask";
import type { FencedOrder } from "../leases/orderClient";
import { createFleetTask, type FleetTask } from "./createFleetTask";
import { parseFleetCapacity } from "./parseFleetCapacity";

const CAPACITY = parseFleetCapacity(`
drainMs: 30000
services:
  assistant:
    machineClasses:
      gpu-a: [{ unitsPerSecond: 100, latencyMs: 900, tokenGapMs: 20 }]
`)._unsafeUnwrap();
/** Demand of 350 with headroom needs five VMs after the loss of a domain, and so eight over three domains. */
const DECLARED = 8;
const DOMAINS = ["hobart", "launceston", "burnie"];
const STEP_MS = 500;

interface NodeOfTest {
    readonly task: FleetTask;
    readonly table: FakeTableClient;
}

/** A cloud, a table and nodes on one clock. The cloud shows a VM 20 s after its start. */
function createWorld(nodeIds: readonly string[] = ["left", "right"]) {
    const clock = createManualClock();
    const table = createFakeTable();
    let vms: readonly VmRecord[] = [];
    const calls = {
        starts: [] as VmStartRequest[],
        stops: [] as string[],
        orders: [] as FencedOrder[],
        drained: [] as string[],
    };
    const switches = { refusedDomain: "", losesAnswers: false, demand: 350 as number | undefined, version: "v1" };
    const byToken = new Map<string, string>();
    const prices: readonly VmPrice[] = DOMAINS.flatMap(failureDomain =>
        [true, false].map(isReclaimable => ({
            region: "north",
            failureDomain,
            machineClass: "gpu-a",
            isReclaimable,
            microsPerHour: isReclaimable ? 1_000 : 3_000,
        })),
    );
    const startVm: CloudPort["startVm"] = order => {
        calls.starts.push(order);
        if (order.failureDomain === switches.refusedDomain) {
            return Promise.resolve(err(createFailure(FailureKind.PlatformRefused, "No capacity.")));
        }
        const vmId = byToken.get(order.token) ?? `vm-${byToken.size + 1}`;
        if (!byToken.has(order.token)) {
            byToken.set(order.token, vmId);
            const { region, failureDomain, machineClass, isReclaimable, role, serviceName, version } = order;
            const place = { region, failureDomain, machineClass, isReclaimable, role, serviceName, version };
            const vm = { ...place, vmId, address: "127.0.0.1", port: 1, state: VmState.Live, incarnation: 1 };
            void clock.waitMs(20_000).then(() => (vms = [...vms, vm]));
        }
        const lost = createFailure(FailureKind.StoreOutcomeUnknown, "Lost.", { execution: Execution.Unknown });
        return Promise.resolve(switches.losesAnswers ? err(lost) : ok({ vmId }));
    };
    const cloud: CloudPort = {
        startVm,
        stopVm: vmId => {
            calls.stops.push(vmId);
            vms = vms.filter(vm => vm.vmId !== vmId);
            return Promise.resolve(ok(undefined));
        },
        listPrices: () => Promise.resolve(ok(prices)),
        listReclaimNotices: () => Promise.resolve(ok([])),
    };
    const readCurrent = (): Configuration => ({
        ...createEmptyConfiguration(),
        services: { assistant: { name: "assistant", kind: ServiceKind.Model, version: switches.version } },
    });
    const createNode = (nodeId: string): NodeOfTest => {
        const client = table.createClient(clock);
        let count = 0;
        const task = createFleetTask({
            nodeId,
            clock,
            table: client,
            cloud,
            configuration: { readCurrent },
            directory: { listVms: () => vms },
            exchange: { listLiveNodeIds: () => nodeIds },
            leases: createLeaseTask({ nodeId, table: client, clock }),
            orders: {
                sendFencedOrder: order => {
                    calls.orders.push(order);
                    vms = vms.map(vm =>
                        vm.vmId === order.endpoint.endpointId ? { ...vm, version: order.order.argument } : vm,
                    );
                    return Promise.resolve(ok(undefined));
                },
            },
            capacity: CAPACITY,
            readDemand: () => switches.demand,
            announceLeaving: (vmId, goneAtWallMs) => {
                calls.drained.push(vmId);
                vms = vms.map(vm => (vm.vmId === vmId ? { ...vm, state: VmState.Leaving } : vm));
                // As the directory does: it shows no VM past its time, whether or not the VM was stopped.
                const dropVm = () => (vms = vms.filter(vm => vm.vmId !== vmId));
                void clock.waitMs(goneAtWallMs - clock.readWallMs()).then(dropVm);
            },
            createToken: () => `${nodeId}-${++count}`,
            reportFailure: () => undefined,
            reportEvent: () => undefined,
        });
        return { task, table: client };
    };
    const nodes = nodeIds.map(createNode);
    return {
        clock,
        table,
        nodes,
        calls,
        switches,
        listVms: () => vms,
        setVms: (next: readonly VmRecord[]) => (vms = next),
        run: (durationMs: number) => runClock(clock, durationMs, STEP_MS),
        end: async () => {
            nodes.forEach(({ task }) => task.dispose());
            await runClock(clock, 6_000, STEP_MS);
        },
    };
}

function countByDomain(vms: readonly VmRecord[]): Record<string, number> {
    const live = vms.filter(vm => vm.state === VmState.Live);
    return Object.fromEntries(DOMAINS.map(domain => [domain, live.filter(vm => vm.failureDomain === domain).length]));
}

describe("the fleet task", () => {
    it("starts each declared VM once, with one of several nodes acting, and explains the plan on all", async () => {
        const world = createWorld();
        await world.run(120_000);
        assert.equal(world.listVms().length, DECLARED);
        assert.equal(new Set(world.calls.starts.map(start => start.token)).size, DECLARED);
        const holders = world.nodes.filter(({ task }) => (task.dumpState() as { isHolder: boolean }).isHolder);
        assert.equal(holders.length, 1);
        for (const { task } of world.nodes) {
            const plan = (await runUntilSettled(world.clock, task.readPlan()))._unsafeUnwrap();
            assert.equal(plan.microsPerHour, 8_000);
            assert.match(plan.services[0]?.demandReason ?? "", /350 a second seen lately/);
        }
        await world.end();
    });

    it("starts nothing twice when answers of the cloud and of the table are lost after their effect", async () => {
        const world = createWorld();
        world.switches.losesAnswers = true;
        await world.run(25_000);
        world.nodes.forEach(({ table }) => table.setFault(TableFault.AnswerLostAfterEffect));
        await world.run(60_000);
        world.nodes.forEach(({ table }) => table.setFault(TableFault.None));
        world.switches.losesAnswers = false;
        await world.run(240_000);
        assert.ok(Object.values(countByDomain(world.listVms())).every(count => count >= 2 && count <= 3));
        assert.equal(world.listVms().length, DECLARED);
        assert.deepEqual(world.calls.stops, []);
        await world.end();
    });

    it("goes on from what a holder kept that ended between any two steps", async () => {
        const world = createWorld();
        for (let part = 0; part < 6; part++) {
            const holder = world.nodes.find(({ task }) => (task.dumpState() as { isHolder: boolean }).isHolder);
            holder?.table.setFault(TableFault.Down);
            await world.run(40_000);
            holder?.table.setFault(TableFault.None);
            await world.run(12_500 + part * STEP_MS);
        }
        await world.run(60_000);
        assert.equal(world.listVms().length, DECLARED);
        assert.equal(new Set(world.calls.starts.map(start => start.token)).size, DECLARED);
        await world.end();
    });

    it("does nothing while the table is away", async () => {
        const world = createWorld();
        world.nodes.forEach(({ table }) => table.setFault(TableFault.Down));
        await world.run(120_000);
        assert.deepEqual(world.calls.starts, []);
        await world.end();
    });

    it("starts the next cheapest where starts are refused, and asks less and less often", async () => {
        const world = createWorld();
        world.switches.refusedDomain = "hobart";
        await world.run(300_000);
        const counts = countByDomain(world.listVms());
        assert.equal(counts["hobart"], 0);
        assert.ok((counts["launceston"] ?? 0) >= 4 && (counts["burnie"] ?? 0) >= 4);
        const refused = world.calls.starts.filter(start => start.failureDomain === "hobart").length;
        assert.ok(refused > 0 && refused <= 24, `${refused} refused`);
        await world.end();
    });

    it("starts anew what a domain's loss took, in the other domains too", async () => {
        const world = createWorld();
        await world.run(120_000);
        world.setVms(world.listVms().filter(vm => vm.failureDomain !== "burnie"));
        await world.run(120_000);
        const counts = Object.values(countByDomain(world.listVms()));
        const total = counts.reduce((sum, count) => sum + count, 0);
        assert.ok((total - Math.max(...counts)) * 100 >= 350 * 1.15, JSON.stringify(counts));
        await world.end();
    });

    it("stops no VM of a fleet that it takes up before it has seen demand for a while, and then drains first", async () => {
        const world = createWorld();
        const [first] = world.nodes;
        assert.ok(first !== undefined);
        await world.run(120_000);
        world.switches.demand = 100;
        await world.run(1_500_000);
        assert.deepEqual(world.calls.stops, []);
        await world.run(600_000);
        assert.ok(world.calls.stops.length > 0);
        assert.deepEqual(new Set(world.calls.stops), new Set(world.calls.drained));
        await world.end();
    });

    it("stops nothing while demand isn't known", async () => {
        const world = createWorld();
        await world.run(120_000);
        world.switches.demand = undefined;
        await world.run(2_400_000);
        assert.deepEqual(world.calls.stops, []);
        assert.equal(world.listVms().length, DECLARED);
        await world.end();
    });

    it("gives VMs of the version before a move the new one, never a leaving VM", async () => {
        const world = createWorld();
        await world.run(120_000);
        const [leaving, ...others] = world.listVms();
        assert.ok(leaving !== undefined);
        world.setVms([{ ...leaving, state: VmState.Leaving }, ...others]);
        world.switches.version = "v2";
        await world.run(240_000);
        assert.ok(world.calls.orders.every(({ endpoint }) => endpoint.endpointId !== leaving.vmId));
        const live = world.listVms().filter(vm => vm.state === VmState.Live);
        assert.ok(live.every(vm => vm.version === "v2"));
        assert.ok(live.length >= 6);
        await world.end();
    });

    it("leaves everything alone for a service that the capacity file doesn't name", async () => {
        const world = createWorld();
        const [vm] = [{ vmId: "vm-x", serviceName: "other", version: "v9", state: VmState.Live } as VmRecord];
        assert.ok(vm !== undefined);
        world.setVms([vm]);
        await world.run(180_000);
        assert.ok(world.listVms().includes(vm));
        assert.ok(world.calls.starts.every(start => start.serviceName === "assistant"));
        await world.end();
    });
});

describe("the capacity file", () => {
    const CASES = [
        { name: "no YAML", text: "a: [", problem: /./ },
        { name: "an unknown field", text: "services: {}\nvms: 3", problem: /vms/ },
        {
            name: "no level",
            text: "services: { a: { machineClasses: { b: [] } } }",
            problem: /services.a.machineClasses.b/,
        },
        {
            name: "a speed of 0",
            text: "services: { a: { machineClasses: { b: [{ unitsPerSecond: 0, latencyMs: 1, tokenGapMs: 0 }] } } }",
            problem: /unitsPerSecond: must be above 0/,
        },
    ];
    for (const { name, text, problem } of CASES) {
        it(`is refused with ${name}`, () => {
            const failure = parseFleetCapacity(text)._unsafeUnwrapErr();
            assert.equal(failure.kind, FailureKind.InvalidSettings);
            assert.match((failure.details?.["problems"] as readonly string[]).join(), problem);
        });
    }

    it("has bounds where it names none", () => {
        const capacity = parseFleetCapacity("services: {}")._unsafeUnwrap();
        assert.deepEqual([capacity.weightLoads, capacity.drainMs], [8, 180_000]);
    });
});
