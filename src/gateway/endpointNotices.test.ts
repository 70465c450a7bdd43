import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { makeRoute } from "../decisions/gateway/_testing/makeRoute";
import { createGatewayHarness, type GatewayHarness } from "./_testing/createGatewayHarness";
import { type EndpointScript, formatAnswer } from "./_testing/startScriptedEndpoint";

let harness: GatewayHarness;
afterEach(() => harness.dispose());

const buildScript =
    (status: string, ...headers: readonly string[]): EndpointScript =>
    (request, socket) => {
        const id = `Redwinglift-Attempt-Id: ${/Attempt-Id: (\S+)/i.exec(request)?.[1] ?? ""}`;
        socket.write(formatAnswer("hello", { status, headers: [id, ...headers] }));
    };
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
