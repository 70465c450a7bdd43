import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { HttpStatus } from "../../adapters/_lib/httpStatus";
import { makeRoute } from "../../decisions/gateway/_testing/makeRoute";
import { createGatewayHarness, type GatewayHarness } from "../_testing/createGatewayHarness";
import { type EndpointScript, formatAnswer } from "../_testing/startScriptedEndpoint";

let harness: GatewayHarness;
afterEach(() => harness.dispose());

const ANSWER = formatAnswer("hello", { headers: ["Redwinglift-Attempt-Id: attempt-1"] });
const REFUSAL = formatAnswer("", {
    status: "503 Service Unavailable",
    headers: ["Redwinglift-Not-Executed: 1", "Redwinglift-Attempt-Id: attempt-1"],
});
const evacuate = (isEvacuated: boolean) =>
    harness.components.evacuations.applyChanges([{ failureDomain: "hobart-1", isEvacuated }], false);
const answer: EndpointScript = (_request, socket) => void socket.write(ANSWER);
const countRequests = () => harness.endpoints.reduce((sum, endpoint) => sum + endpoint.listRequests().length, 0);

describe("a request while all endpoints are in an evacuated failure domain", () => {
    it("is refused at once as not run, with a retry time, and served when the order is deleted", async () => {
        harness = await createGatewayHarness(makeRoute(), [answer]);
        evacuate(true);
        const refused = await harness.send();
        assert.equal(refused.status, HttpStatus.ServiceUnavailable);
        assert.ok(Number(refused.headers["retry-after"]) > 0);
        assert.equal(countRequests(), 0);
        const text = await harness.components.metrics.formatMetrics();
        assert.match(text, /redwinglift_placement_refusals_total\{.*reason="evacuated"\} 1/);
        assert.match(text, /redwinglift_evacuated\{failure_domain="hobart-1"\} 1/);
        evacuate(false);
        assert.equal((await harness.send()).status, HttpStatus.Ok);
    });

    // Guards against: the retry of a request that was sent before the order goes to the failure domain.
    it("is not repeated there", async () => {
        const refuseLate: EndpointScript = (_request, socket) => {
            evacuate(true);
            socket.write(REFUSAL);
        };
        harness = await createGatewayHarness(makeRoute(), [refuseLate, refuseLate]);
        assert.equal((await harness.send()).status, HttpStatus.ServiceUnavailable);
        assert.equal(countRequests(), 1);
    });

    // Guards against: the order ends requests that are in progress.
    it("completes if it was sent before the order", async () => {
        const answerLate: EndpointScript = (_request, socket) => {
            evacuate(true);
            setTimeout(() => socket.write(ANSWER), 50);
        };
        harness = await createGatewayHarness(makeRoute(), [answerLate]);
        assert.equal((await harness.send()).status, HttpStatus.Ok);
    });
});
