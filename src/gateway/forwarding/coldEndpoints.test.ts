import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { setTimeout as pause } from "node:timers/promises";
import { HttpStatus } from "../../adapters/_lib/httpStatus";
import { makeRoute } from "../../decisions/gateway/_testing/makeRoute";
import { RouteKind } from "../../model/gateway";
import { createGatewayHarness, type GatewayHarness } from "../_testing/createGatewayHarness";
import { type EndpointScript, formatAnswer } from "../_testing/startScriptedEndpoint";

let harness: GatewayHarness;
afterEach(() => harness.dispose());

const ID = "Redwinglift-Attempt-Id: attempt-1";
const formatCold = (coldMs: number) => formatAnswer("hello", { headers: [ID, `Redwinglift-Cold-Ms: ${coldMs}`] });
const answerCold: EndpointScript = (_request, socket) => void socket.write(formatCold(5_000));
const answer: EndpointScript = (_request, socket) => void socket.write(formatAnswer("hello", { headers: [ID] }));
const countRequests = () => harness.endpoints.map(endpoint => endpoint.listRequests().length);

async function createColdService(scripts: readonly EndpointScript[], kind = RouteKind.Idempotent): Promise<void> {
    harness = await createGatewayHarness(makeRoute({ kind }), scripts);
    const service = { name: "chat", connectionsMax: 100, engine: undefined, fleet: undefined };
    harness.apply({ services: [{ ...service, coldStartMs: 8_000, coldPerSecond: 9.9 }] });
    harness.confirm();
}

// This node has no list of members, so that it sends nothing to cold endpoints.
describe("a request to a service with a rate for cold endpoints", () => {
    it("is refused at once as not run, with a retry time, if the only endpoint has said that it is cold", async () => {
        await createColdService([answerCold]);
        assert.equal((await harness.send()).status, HttpStatus.Ok);
        const refused = await harness.send();
        assert.equal(refused.status, HttpStatus.ServiceUnavailable);
        assert.ok(Number(refused.headers["retry-after"]) > 0);
        assert.deepEqual(countRequests(), [1]);
    });

    it("goes to a warm endpoint", async () => {
        await createColdService([answerCold, answer]);
        for (let sent = 0; sent < 20; sent++) {
            assert.equal((await harness.send()).status, HttpStatus.Ok);
        }
        const [cold = 0, warm = 0] = countRequests();
        assert.ok(cold <= 1 && warm >= 19, `${cold} ${warm}`);
    });

    // Guards against: the retry after a broken connection goes to the endpoint that comes back at the same address.
    it("isn't sent again to an endpoint whose connection broke under it", async () => {
        await createColdService([(_request, socket) => void socket.resetAndDestroy()]);
        await harness.send();
        assert.equal((await harness.send()).status, HttpStatus.ServiceUnavailable);
        assert.deepEqual(countRequests(), [1]);
    });

    // Guards against: an endpoint that restarts while this node's connections to it are idle counts as warm.
    it("isn't sent to an endpoint that ended its idle connection", async () => {
        await createColdService([answer]);
        assert.equal((await harness.send()).status, HttpStatus.Ok);
        harness.endpoints[0]?.crash(0);
        await pause(100);
        assert.equal((await harness.send()).status, HttpStatus.ServiceUnavailable);
        assert.deepEqual(countRequests(), [1]);
    });
});
