import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { HttpStatus } from "../../adapters/_lib/httpStatus";
import { makeRoute } from "../../decisions/gateway/_testing/makeRoute";
import type { GatewayRoute } from "../../model/gateway";
import { createGatewayHarness, type GatewayHarness } from "../_testing/createGatewayHarness";
import { makeEndpoint } from "../_testing/makeEndpoint";
import { type EndpointScript, formatAnswer } from "../_testing/startScriptedEndpoint";

let harness: GatewayHarness;
afterEach(() => harness.dispose());

const answer: EndpointScript = (_request, socket) =>
    void socket.write(formatAnswer("hello", { headers: ["Redwinglift-Attempt-Id: attempt-1"] }));
const failBeforeRun: EndpointScript = (_request, socket) =>
    void socket.write(
        formatAnswer("", {
            status: "503 Service Unavailable",
            headers: ["Redwinglift-Not-Executed: 1", "Redwinglift-Attempt-Id: attempt-1"],
        }),
    );
const breakOff: EndpointScript = (_request, socket) => void socket.resetAndDestroy();

/** Starts a node in hobart with an endpoint there and one in perth. */
async function createTwoRegions(changes: Partial<GatewayRoute>, hobart: EndpointScript): Promise<void> {
    harness = await createGatewayHarness(makeRoute(changes), [hobart, answer]);
    Object.assign(harness.components.settings, { regions: { "hobart-1": "hobart", "perth-1": "perth" } });
    const [, target] = harness.endpoints;
    assert.ok(target !== undefined);
    const endpoint = makeEndpoint("i-1", {
        target: { address: target.address, port: target.port },
        failureDomain: "perth-1",
    });
    harness.directory.applyEntry({ id: "i-1", endpoint: undefined }, false);
    harness.directory.applyEntry({ id: "i-1", endpoint }, false);
}
const countRequests = () => harness.endpoints.map(endpoint => endpoint.listRequests().length);

describe("a request with home regions", () => {
    it("is served by an endpoint there, also from a node outside", async () => {
        await createTwoRegions({ homeRegions: ["perth"] }, answer);
        assert.equal((await harness.send()).status, HttpStatus.Ok);
        assert.deepEqual(countRequests(), [0, 1]);
    });

    // Guards against: the first attempt keeps to the home regions, but the retry doesn't.
    for (const [name, script] of Object.entries({ "a refusal": failBeforeRun, "a broken connection": breakOff })) {
        it(`is not repeated outside after ${name}`, async () => {
            await createTwoRegions({ homeRegions: ["hobart"] }, script);
            assert.ok((await harness.send()).status >= 500);
            assert.deepEqual(countRequests(), [1, 0]);
        });
    }

    // Guards against: the regions of the account and of the route are joined, or one of the lists is passed over.
    it("is refused as not run, at once and with a retry time, if no endpoint is in the regions of route and account", async () => {
        await createTwoRegions({ homeRegions: ["hobart"] }, answer);
        const [account] = harness.configuration.readCurrent()?.configuration.accounts ?? [];
        assert.ok(account !== undefined);
        harness.apply({ accounts: [{ ...account, homeRegions: ["perth"] }] });
        harness.confirm();
        const refused = await harness.send();
        assert.equal(refused.status, HttpStatus.ServiceUnavailable);
        assert.ok(Number(refused.headers["retry-after"]) > 0);
        assert.deepEqual(countRequests(), [0, 0]);
        const text = await harness.components.metrics.formatMetrics();
        assert.match(text, /redwinglift_placement_refusals_total\{.*reason="outside_home_regions"\} 1/);
    });
});
