import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { installSignalHandlers } from "../../base/installSignalHandlers";
import { makeRoute } from "../../decisions/gateway/_testing/makeRoute";
import { createGatewayHarness } from "../_testing/createGatewayHarness";
import { dumpOnSignal } from "./dumpOnSignal";

describe("a dump of a gateway", () => {
    it("shows configuration, endpoints, news and listeners, and no key", async () => {
        const harness = await createGatewayHarness(makeRoute(), [() => undefined]);
        const line = await new Promise<string>(resolve => {
            const listeners = { name: "listeners", dumpState: () => ["callers"] };
            dumpOnSignal(harness.components, listeners, installSignalHandlers(), resolve);
            process.kill(process.pid, "SIGUSR2");
        });
        harness.dispose();
        const dump = JSON.parse(line);
        assert.equal(dump.tasks.configuration.version, 2);
        assert.equal(dump.tasks.endpoints[0].endpoint.id, "i-0");
        assert.ok("news" in dump.tasks);
        assert.deepEqual(dump.tasks.listeners, ["callers"]);
        assert.doesNotMatch(line, /key-1/);
    });
});
