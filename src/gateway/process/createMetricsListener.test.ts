import assert from "node:assert/strict";
import type { AddressInfo } from "node:net";
import { afterEach, describe, it } from "node:test";
import { err, ok } from "neverthrow";
import { createFailure } from "../../base/createFailure";
import { FailureKind } from "../../base/failure";
import type { ExplainQuery } from "../explain/explainQuery";
import type { Explanation } from "../explain/explanation";
import { createMetricsListener } from "./createMetricsListener";

let stop: () => void;
afterEach(() => stop());

const EXPLANATION: Explanation = {
    node: "n-1",
    failureDomain: "hobart-1",
    evacuated: [],
    quarantine: "free",
    refusals: [],
    services: [],
    omittedServices: 0,
};

/** Starts the listener with one suspected part; gives its address and the parts that are released. */
async function startListener(formatMetrics = () => Promise.resolve("metric 1\n")) {
    const released: string[] = [];
    const questions: ExplainQuery[] = [];
    const server = createMetricsListener({
        explainRequest: query => {
            questions.push(query);
            return query.path === "/unknown"
                ? err(createFailure(FailureKind.NotFound, "No account."))
                : ok(EXPLANATION);
        },
        formatMetrics,
        reportFailure: () => undefined,
        quarantine: { hasEvidence: part => part === "a1", releasePart: part => void released.push(part) },
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    stop = () => void server.close();
    return { url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, released, questions };
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

    it("explains a request, and answers a bad or unanswerable question with its failure", async () => {
        const { url } = await startListener();
        const explained = await fetch(`${url}/explain?path=/a`);
        assert.equal(explained.status, 200);
        assert.equal(((await explained.json()) as { readonly node: string }).node, "n-1");
        const bad = await fetch(`${url}/explain`);
        assert.equal(bad.status, 400);
        assert.match(await bad.text(), /"type":"invalid_request"/);
        assert.equal((await fetch(`${url}/explain?path=/unknown`)).status, 404);
    });

    // Guards against: the values behind a question mark in the path are ignored, and another request is explained.
    it("takes a path with a query of its own", async () => {
        const { url, questions } = await startListener();
        assert.equal((await fetch(`${url}/explain?path=/a?b=1&account=county`)).status, 200);
        assert.deepEqual([questions[0]?.path, questions[0]?.account], ["/a?b=1", "county"]);
    });
});
