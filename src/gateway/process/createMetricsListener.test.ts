import assert from "node:assert/strict";
import type { AddressInfo } from "node:net";
import { afterEach, describe, it } from "node:test";
import { createMetricsListener } from "./createMetricsListener";

let stop: () => void;
afterEach(() => stop());

/** Starts the listener with one suspected part; gives its address and the parts that are released. */
async function startListener(formatMetrics = () => Promise.resolve("metric 1\n")) {
    const released: string[] = [];
    const server = createMetricsListener({
        formatMetrics,
        reportFailure: () => undefined,
        quarantine: { hasEvidence: part => part === "a1", releasePart: part => void released.push(part) },
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    stop = () => void server.close();
    return { url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, released };
}

describe("the metrics listener", () => {
    it("releases a prompt part at an operator's order, and no unknown one", async () => {
        const { url, released } = await startListener();
        assert.equal((await fetch(`${url}/quarantine/release?part=a1`, { method: "POST" })).status, 200);
        assert.equal((await fetch(`${url}/quarantine/release?part=b2`, { method: "POST" })).status, 404);
        assert.equal((await fetch(`${url}/quarantine/release`, { method: "POST" })).status, 404);
        assert.deepEqual(released, ["a1"]);
    });

    it("answers everything else with metrics, and releases nothing by GET", async () => {
        const { url, released } = await startListener();
        assert.equal(await (await fetch(`${url}/quarantine/release?part=a1`)).text(), "metric 1\n");
        assert.deepEqual(released, []);
    });

    it("answers 500 if the metrics fail, and lives on", async () => {
        const { url } = await startListener(() => Promise.reject(new Error("broken")));
        assert.equal((await fetch(url)).status, 500);
        assert.equal((await fetch(url)).status, 500);
    });
});
