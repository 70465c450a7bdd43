import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { makeRoute } from "../../decisions/gateway/_testing/makeRoute";
import { RouteKind } from "../../model/gateway";
import { createGatewayHarness, type GatewayHarness } from "../_testing/createGatewayHarness";
import { type EndpointScript, formatAnswer } from "../_testing/startScriptedEndpoint";

const REQUESTS = 120;
let harness: GatewayHarness;
afterEach(() => harness.dispose());

const buildScript =
    (status: string, ...headers: readonly string[]): EndpointScript =>
    (request, socket) => {
        const id = `Redwinglift-Attempt-Id: ${/Attempt-Id: (\S+)/i.exec(request)?.[1] ?? ""}`;
        socket.write(formatAnswer("hello", { status, headers: [id, ...headers] }));
    };

describe("a version on trial whose endpoint wants no requests now", () => {
    // Guards against: a request that the trial may take is refused, although endpoints of the old version are there.
    for (const [name, next] of [
        [
            "refuses with Retry-After",
            buildScript("503 Service Unavailable", "Redwinglift-Not-Executed: 1", "Retry-After: 30"),
        ],
        ["names a limit", buildScript("200 OK", "Server-Limit: 0")],
    ] as const) {
        it(`costs no caller an answer: it ${name}`, async () => {
            const route = makeRoute({ kind: RouteKind.Idempotent });
            harness = await createGatewayHarness(route, [buildScript("200 OK"), next]);
            const { rollouts } = harness.components;
            const target = harness.directory.findEndpoint("i-1")?.endpoint;
            assert.ok(target !== undefined);
            const order = { service: "chat", target: "v2", durationMs: 500, revision: 7 };
            rollouts.applyOrders([{ service: "chat", order }], true);
            harness.directory.applyEntry({ id: "i-1", endpoint: { ...target, version: "v2" } }, false);
            rollouts.mergeReports(rollouts.readReports());
            await new Promise(resolve => setTimeout(resolve, order.durationMs));
            for (let sent = 0; sent < REQUESTS; sent++) {
                assert.equal((await harness.send()).status, 200, `request ${sent}`);
            }
            assert.ok((harness.endpoints[1]?.listRequests().length ?? 0) >= 1);
        });
    }
});
