import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createManualClock } from "../../base/createManualClock";
import { type VmRecord, VmRole, VmState } from "../../model/endpoint";
import { createVmRegistry } from "./createVmRegistry";

const vm: VmRecord = {
    vmId: "a",
    role: VmRole.ModelRunner,
    address: "127.0.0.1",
    port: 1,
    state: VmState.Live,
    region: "hobart",
    failureDomain: "hobart-1",
    machineClass: "standard",
    isReclaimable: true,
    incarnation: 1,
};

describe("The registry of VMs", () => {
    it("shows VMs, changes and reclaim notices by its lag late", () => {
        const clock = createManualClock();
        const registry = createVmRegistry(clock);
        const listIds = (lagMs: number) => registry.listLagging(lagMs).map(listed => listed.vmId);
        registry.addVm(vm);
        clock.advanceMs(1_000);
        registry.updateVm("a", { state: VmState.Leaving, reclaimAtWallMs: 5_000 });
        assert.deepEqual(listIds(1_500), []);
        assert.deepEqual(listIds(1_000), ["a"]);
        assert.deepEqual(registry.listNotices(1_000), []);
        assert.deepEqual(registry.listNotices(0), [{ vmId: "a", reclaimAtWallMs: 5_000 }]);
        clock.advanceMs(1_000);
        registry.removeVm("a");
        assert.deepEqual(listIds(1_000), ["a"]);
        assert.equal(registry.listNotices(1_000).length, 1);
        assert.deepEqual(registry.listNow(), []);
        clock.advanceMs(1_000);
        assert.deepEqual(listIds(1_000), []);
    });
});
