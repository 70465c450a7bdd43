import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { err, ok, type Result } from "neverthrow";
import { createFailure } from "../../base/createFailure";
import { createManualClock } from "../../base/createManualClock";
import { createRandom } from "../../base/createRandom";
import { type Failure, FailureKind } from "../../base/failure";
import { type VmRecord, VmRole, VmState } from "../../model/endpoint";
import type { ExchangeTopic, ExchangeUpdate, NodeExchange } from "../../nodes/nodeExchange";
import type { ReclaimNotice } from "../../ports/cloud";
import { createDirectoryTask } from "./createDirectoryTask";
import { decodeNotices } from "./decodeNotices";

const VM: VmRecord = {
    vmId: "vm-1",
    role: VmRole.ModelRunner,
    address: "127.0.0.1",
    port: 9_000,
    state: VmState.Live,
    machineClass: "gpu-1",
    isReclaimable: true,
    serviceName: "news",
    version: "v1",
    incarnation: 1,
    region: "hobart",
    failureDomain: "hobart-a",
};

class FakeExchange implements NodeExchange {
    readonly published: ExchangeUpdate[] = [];
    private listeners: ((update: ExchangeUpdate) => void)[] = [];

    publishUpdate(topic: ExchangeTopic, key: string, payload: Uint8Array): void {
        this.published.push({ topic, key, payload, fromNodeId: "node-1" });
    }
    subscribeTopic(topic: ExchangeTopic, listener: (update: ExchangeUpdate) => void): () => void {
        const filtered = (update: ExchangeUpdate) => update.topic === topic && listener(update);
        this.listeners.push(filtered);
        return () => (this.listeners = this.listeners.filter(other => other !== filtered));
    }
    listLiveNodeIds(): readonly string[] {
        return ["node-1", "node-2"];
    }
    deliver(update: ExchangeUpdate): void {
        this.listeners.forEach(listener => listener(update));
    }
}

function createFixture() {
    const clock = createManualClock();
    const exchange = new FakeExchange();
    const platform: {
        list: Result<readonly VmRecord[], Failure>;
        notices: Result<readonly ReclaimNotice[], Failure>;
    } = { list: ok([VM, { ...VM, vmId: "vm-2" }]), notices: ok([]) };
    const directory = createDirectoryTask({
        clock,
        random: createRandom(1),
        vmList: { listVms: async () => platform.list },
        cloud: { listReclaimNotices: async () => platform.notices },
        exchange,
        reportFailure: (name, failure) => assert.fail(`${name}: ${failure.message}`),
    });
    const runFor = async (totalMs: number) => {
        for (let passedMs = 0; passedMs < totalMs; passedMs += 250) {
            await new Promise(resolve => setImmediate(resolve));
            clock.advanceMs(250);
            await new Promise(resolve => setImmediate(resolve));
        }
    };
    const readStates = () => Object.fromEntries(directory.listVms().map(vm => [vm.vmId, vm.state]));
    return { clock, exchange, platform, directory, runFor, readStates };
}

describe("the directory task", () => {
    it("lists the platform's VMs and notifies listeners only when the list changes", async () => {
        const { directory, runFor, readStates } = createFixture();
        let changes = 0;
        directory.subscribeChanges(() => changes++);
        await runFor(10_000);
        assert.deepEqual(readStates(), { "vm-1": VmState.Live, "vm-2": VmState.Live });
        assert.equal(changes, 1);
        directory.dispose();
    });

    it("keeps its VM list while the platform is unavailable", async () => {
        const { directory, platform, runFor, readStates } = createFixture();
        await runFor(1_000);
        platform.list = err(createFailure(FailureKind.StoreUnavailable, "down"));
        platform.notices = err(createFailure(FailureKind.StoreUnavailable, "down"));
        await runFor(60_000);
        assert.deepEqual(readStates(), { "vm-1": VmState.Live, "vm-2": VmState.Live });
        directory.dispose();
    });

    it("marks a reclaimed VM as leaving within a second and notifies the other nodes once", async () => {
        const { clock, directory, exchange, platform, runFor, readStates } = createFixture();
        await runFor(1_000);
        const reclaimAtWallMs = clock.readWallMs() + 30_000;
        platform.notices = ok([{ vmId: "vm-1", reclaimAtWallMs }]);
        await runFor(1_000);
        assert.equal(readStates()["vm-1"], VmState.Leaving);
        await runFor(5_000);
        assert.equal(exchange.published.length, 1);
        const [update] = exchange.published;
        assert.deepEqual(decodeNotices(update!.payload), [{ vmId: "vm-1", incarnation: 1, reclaimAtWallMs }]);
        directory.dispose();
    });

    it("accepts a departure notice of another node, and removes the VM after its reclaim time", async () => {
        const { clock, directory, exchange, platform, runFor, readStates } = createFixture();
        await runFor(1_000);
        const payload = Buffer.from(JSON.stringify([["vm-2", 1, clock.readWallMs() + 10_000]]));
        exchange.deliver({ topic: "vm_leaving" as ExchangeTopic, key: "", payload, fromNodeId: "node-2" });
        await runFor(250);
        assert.equal(readStates()["vm-2"], VmState.Leaving);
        await runFor(20_000);
        assert.deepEqual(readStates(), { "vm-1": VmState.Live });
        platform.list = ok([VM, { ...VM, vmId: "vm-2", incarnation: 2 }]);
        await runFor(5_000);
        assert.equal(readStates()["vm-2"], VmState.Live);
        directory.dispose();
    });

    it("ignores malformed notices of other nodes", async () => {
        const { directory, exchange, runFor, readStates } = createFixture();
        await runFor(1_000);
        for (const text of ["", "{", "[[1,2,3]]", '{"vm-1":true}']) {
            const payload = Buffer.from(text);
            exchange.deliver({ topic: "vm_leaving" as ExchangeTopic, key: "", payload, fromNodeId: "node-2" });
        }
        await runFor(500);
        assert.equal(readStates()["vm-1"], VmState.Live);
        directory.dispose();
    });
});
