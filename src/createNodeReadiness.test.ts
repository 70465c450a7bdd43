import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createNodeReadiness, type ReadinessSources } from "./createNodeReadiness";

type Vms = ReturnType<ReadinessSources["directory"]["listVms"]>;

describe("the readiness of a node", () => {
    // Guards against: callers come to a node that can't listen on one of its addresses, and that soon ends (FAULT).
    it("comes with the configuration, the VMs and a finished start, and not before", async () => {
        let vms = [] as unknown as Vms;
        let handleChange: (changed: Vms) => void = () => undefined;
        const readiness = createNodeReadiness({
            configuration: { isReady: () => true, whenReady: Promise.resolve() },
            directory: {
                listVms: () => vms,
                subscribeChanges: handle => {
                    handleChange = handle;
                    return () => undefined;
                },
            },
        });
        vms = [{ vmId: "vm-1" }] as unknown as Vms;
        handleChange(vms);
        await readiness.whenReady;
        assert.equal(readiness.isReady(), false);
        readiness.finishStart();
        assert.equal(readiness.isReady(), true);
        vms = [] as unknown as Vms;
        assert.equal(readiness.isReady(), false);
    });
});
