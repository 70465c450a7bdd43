import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { makeRoute } from "../../decisions/gateway/_testing/makeRoute";
import { createGatewayHarness, type GatewayHarness } from "../_testing/createGatewayHarness";
import { type EndpointScript, formatAnswer } from "../_testing/startScriptedEndpoint";

let harness: GatewayHarness;
afterEach(() => harness.dispose());

const buildScript =
    (status: string, ...headers: readonly string[]): EndpointScript =>
    (request, socket) => {
        const id = `Redwinglift-Attempt-Id: ${/Attempt-Id: (\S+)/i.exec(request)?.[1] ?? ""}`;
        socket.write(formatAnswer("hello", { status, headers: [id, ...headers] }));
    };
const refuseFor = (seconds: string) =>
    buildScript("503 Service Unavailable", "Redwinglift-Not-Executed: 1", `Retry-After: ${seconds}`);
const answer = buildScript("200 OK");
const countRequests = (index: number) => harness.endpoints[index]?.listRequests().length ?? 0;
const sendMany = async (count: number) => {
    const statuses: number[] = [];
    for (let sent = 0; sent < count; sent++) {
        statuses.push((await harness.send()).status);
    }
    return statuses;
};
const start = async (...scripts: readonly EndpointScript[]) => {
    harness = await createGatewayHarness(makeRoute(), scripts);
};

describe("an endpoint that says in an answer that it leaves", () => {
    // Guards against: a leaving endpoint goes on getting requests from a node that it has told (DRAIN).
    it("gets no more requests from this node, while another one serves them", async () => {
        await start(buildScript("200 OK", "Server-Leaving: 1"), answer);
        assert.ok((await sendMany(30)).every(status => status === 200));
        assert.equal(countRequests(0), 1);
    });

    it("gets requests again once it has started anew", async () => {
        await start(buildScript("200 OK", "Server-Leaving: 1"));
        await sendMany(2);
        assert.equal(countRequests(0), 1);
        const endpoint = harness.directory.findEndpoint("i-0")?.endpoint;
        assert.ok(endpoint !== undefined);
        harness.directory.applyEntry({ id: "i-0", endpoint: { ...endpoint, startedAtMs: 5 } }, false);
        assert.equal((await harness.send()).status, 200);
    });

    for (const value of ["0", "", "yes"]) {
        it(`is not taken for leaving by the value ${JSON.stringify(value)}`, async () => {
            await start(buildScript("200 OK", `Server-Leaving: ${value}`));
            assert.ok((await sendMany(3)).every(status => status === 200));
        });
    }
});

describe("an endpoint that refuses with Retry-After", () => {
    // Guards against: requests reach an endpoint before the time for which it wanted none from this node (BUDGET).
    it("gets no request from this node until then, while another one serves them", async () => {
        await start(refuseFor("30"), answer);
        assert.ok((await sendMany(30)).every(status => status === 200));
        assert.equal(countRequests(0), 1);
    });

    it("alone: callers are told when to come back", async () => {
        await start(refuseFor("30"));
        await harness.send();
        const { status, headers } = await harness.send();
        assert.equal(status, 503);
        assert.ok(Number(headers["retry-after"]) > 25);
        assert.equal(countRequests(0), 1);
    });

    it("gets requests again after the time", async () => {
        await start(refuseFor("0.2"));
        await harness.send();
        await harness.send();
        assert.equal(countRequests(0), 1);
        await new Promise(resolve => setTimeout(resolve, 250));
        await harness.send();
        assert.equal(countRequests(0), 2);
    });

    for (const value of ["-3", "soon", "", "1e9", "99999999999"]) {
        it(`goes on getting requests if the value is ${JSON.stringify(value)}`, async () => {
            await start(refuseFor(value));
            await sendMany(2);
            assert.ok(countRequests(0) >= 2);
        });
    }
});
