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
/** A demand of 350 with headroom needs five VMs after the loss of a failure domain, hence eight in three domains. */
const DECLARED_VM_COUNT = 8;
const DOMAINS = ["hobart", "launceston", "burnie"];
const STEP_MS = 500;

interface TestNode {
    readonly task: FleetTask;
    readonly table: FakeTableClient;
}

/** Creates a fake cloud, a table and nodes on one clock. The cloud lists a VM 20 s after its start. */
function createFixture(nodeIds: readonly string[] = ["left", "right"]) {
    const clock = createManualClock();
    const table = createFakeTable();
    let vms: readonly VmRecord[] = [];
    const calls = {
        starts: [] as VmStartRequest[],
        stops: [] as string[],
        orders: [] as FencedOrder[],
        drained: [] as string[],
    };
    const switches = { refusedDomain: "", losesResponses: false, demand: 350 as number | undefined, version: "v1" };
    const vmIdsByToken = new Map<string, string>();
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
        const vmId = vmIdsByToken.get(order.token) ?? `vm-${vmIdsByToken.size + 1}`;
        if (!vmIdsByToken.has(order.token)) {
            vmIdsByToken.set(order.token, vmId);
            const { region, failureDomain, machineClass, isReclaimable, role, serviceName, version } = order;
            const properties = { region, failureDomain, machineClass, isReclaimable, role, serviceName, version };
            const vm = { ...properties, vmId, address: "127.0.0.1", port: 1, state: VmState.Live, incarnation: 1 };
            void clock.waitMs(20_000).then(() => (vms = [...vms, vm]));
        }
        const lostResponse = createFailure(FailureKind.StoreOutcomeUnknown, "Lost.", { execution: Execution.Unknown });
        return Promise.resolve(switches.losesResponses ? err(lostResponse) : ok({ vmId }));
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
    const createNode = (nodeId: string): TestNode => {
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
                // Like the directory, removes the VM from the list at that time, whether or not it was stopped.
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
    it("starts each declared VM once from one of several nodes, and explains the plan on all nodes", async () => {
        const fixture = createFixture();
        await fixture.run(120_000);
        assert.equal(fixture.listVms().length, DECLARED_VM_COUNT);
        assert.equal(new Set(fixture.calls.starts.map(start => start.token)).size, DECLARED_VM_COUNT);
        const holders = fixture.nodes.filter(({ task }) => (task.dumpState() as { isHolder: boolean }).isHolder);
        assert.equal(holders.length, 1);
        for (const { task } of fixture.nodes) {
            const plan = (await runUntilSettled(fixture.clock, task.readPlan()))._unsafeUnwrap();
            assert.equal(plan.microsPerHour, 8_000);
            assert.match(plan.services[0]?.demandReason ?? "", /350 a second seen lately/);
        }
        await fixture.end();
    });

    it("starts no VM twice when responses of the cloud and the table are lost after taking effect", async () => {
        const fixture = createFixture();
        fixture.switches.losesResponses = true;
        await fixture.run(25_000);
        fixture.nodes.forEach(({ table }) => table.setFault(TableFault.AnswerLostAfterEffect));
        await fixture.run(60_000);
        fixture.nodes.forEach(({ table }) => table.setFault(TableFault.None));
        fixture.switches.losesResponses = false;
        await fixture.run(240_000);
        assert.ok(Object.values(countByDomain(fixture.listVms())).every(count => count >= 2 && count <= 3));
        assert.equal(fixture.listVms().length, DECLARED_VM_COUNT);
        assert.deepEqual(fixture.calls.stops, []);
        await fixture.end();
    });

    it("resumes from the stored state after a lease holder fails between any two steps", async () => {
        const fixture = createFixture();
        for (let failure = 0; failure < 6; failure++) {
            const holder = fixture.nodes.find(({ task }) => (task.dumpState() as { isHolder: boolean }).isHolder);
            holder?.table.setFault(TableFault.Down);
            await fixture.run(40_000);
            holder?.table.setFault(TableFault.None);
            await fixture.run(12_500 + failure * STEP_MS);
        }
        await fixture.run(60_000);
        assert.equal(fixture.listVms().length, DECLARED_VM_COUNT);
        assert.equal(new Set(fixture.calls.starts.map(start => start.token)).size, DECLARED_VM_COUNT);
        await fixture.end();
    });

    it("does nothing while the table is unavailable", async () => {
        const fixture = createFixture();
        fixture.nodes.forEach(({ table }) => table.setFault(TableFault.Down));
        await fixture.run(120_000);
        assert.deepEqual(fixture.calls.starts, []);
        await fixture.end();
    });

    it("starts the next cheapest offer when starts are refused, and retries with backoff", async () => {
        const fixture = createFixture();
        fixture.switches.refusedDomain = "hobart";
        await fixture.run(300_000);
        const counts = countByDomain(fixture.listVms());
        assert.equal(counts["hobart"], 0);
        assert.ok((counts["launceston"] ?? 0) >= 4 && (counts["burnie"] ?? 0) >= 4);
        const refused = fixture.calls.starts.filter(start => start.failureDomain === "hobart").length;
        assert.ok(refused > 0 && refused <= 24, `${refused} refused starts`);
        await fixture.end();
    });

    it("replaces the capacity lost with a failure domain, also in the other domains", async () => {
        const fixture = createFixture();
        await fixture.run(120_000);
        fixture.setVms(fixture.listVms().filter(vm => vm.failureDomain !== "burnie"));
        await fixture.run(120_000);
        const counts = Object.values(countByDomain(fixture.listVms()));
        const total = counts.reduce((sum, count) => sum + count, 0);
        assert.ok((total - Math.max(...counts)) * 100 >= 350 * 1.15, JSON.stringify(counts));
        await fixture.end();
    });

    it("stops no VM until lower demand has lasted a while, and then drains it first", async () => {
        const fixture = createFixture();
        const [first] = fixture.nodes;
        assert.ok(first !== undefined);
        await fixture.run(120_000);
        fixture.switches.demand = 100;
        await fixture.run(1_500_000);
        assert.deepEqual(fixture.calls.stops, []);
        await fixture.run(600_000);
        assert.ok(fixture.calls.stops.length > 0);
        assert.deepEqual(new Set(fixture.calls.stops), new Set(fixture.calls.drained));
        await fixture.end();
    });

    it("stops no VM while the demand is unknown", async () => {
        const fixture = createFixture();
        await fixture.run(120_000);
        fixture.switches.demand = undefined;
        await fixture.run(2_400_000);
        assert.deepEqual(fixture.calls.stops, []);
        assert.equal(fixture.listVms().length, DECLARED_VM_COUNT);
        await fixture.end();
    });

    it("loads the new version on VMs of the old version, but never on a leaving VM", async () => {
        const fixture = createFixture();
        await fixture.run(120_000);
        const [leaving, ...others] = fixture.listVms();
        assert.ok(leaving !== undefined);
        fixture.setVms([{ ...leaving, state: VmState.Leaving }, ...others]);
        fixture.switches.version = "v2";
        await fixture.run(240_000);
        assert.ok(fixture.calls.orders.every(({ endpoint }) => endpoint.endpointId !== leaving.vmId));
        const live = fixture.listVms().filter(vm => vm.state === VmState.Live);
        assert.ok(live.every(vm => vm.version === "v2"));
        assert.ok(live.length >= 6);
        await fixture.end();
    });

    it("doesn't manage a service that the capacity file doesn't declare", async () => {
        const fixture = createFixture();
        const [vm] = [{ vmId: "vm-x", serviceName: "other", version: "v9", state: VmState.Live } as VmRecord];
        assert.ok(vm !== undefined);
        fixture.setVms([vm]);
        await fixture.run(180_000);
        assert.ok(fixture.listVms().includes(vm));
        assert.ok(fixture.calls.starts.every(start => start.serviceName === "assistant"));
        await fixture.end();
    });
});

describe("the capacity file", () => {
    const CASES = [
        { name: "invalid YAML", text: "a: [", problem: /./ },
        { name: "an unknown field", text: "services: {}\nvms: 3", problem: /vms/ },
        {
            name: "no load level",
            text: "services: { a: { machineClasses: { b: [] } } }",
            problem: /services.a.machineClasses.b/,
        },
        {
            name: "a throughput of 0",
            text: "services: { a: { machineClasses: { b: [{ unitsPerSecond: 0, latencyMs: 1, tokenGapMs: 0 }] } } }",
            problem: /unitsPerSecond: must be above 0/,
        },
    ];
    for (const { name, text, problem } of CASES) {
        it(`is rejected with ${name}`, () => {
            const failure = parseFleetCapacity(text)._unsafeUnwrapErr();
            assert.equal(failure.kind, FailureKind.InvalidSettings);
            assert.match((failure.details?.["problems"] as readonly string[]).join(), problem);
        });
    }

    it("has default limits", () => {
        const capacity = parseFleetCapacity("services: {}")._unsafeUnwrap();
        assert.deepEqual([capacity.weightLoads, capacity.drainMs], [8, 180_000]);
    });
});
