import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { makeRoute } from "../../decisions/gateway/_testing/makeRoute";
import { createGatewayHarness, type GatewayHarness } from "../_testing/createGatewayHarness";
import { makeEndpoint } from "../_testing/makeEndpoint";
import { type EndpointScript, formatAnswer } from "../_testing/startScriptedEndpoint";

const ENDPOINTS = 6;
const BACK_AFTER_MS = 400;
const WORK_MS = 20;
const FIRST_PART = "base:100";

let harness: GatewayHarness;
afterEach(() => harness.dispose());

/** Starts endpoints of which each crashes as it begins to answer a request with the part `deadly`. */
async function startCrashing() {
    const scripts = Array.from({ length: ENDPOINTS }, (_, index): EndpointScript => {
        return (request, socket) =>
            setTimeout(() => {
                if (request.includes("deadly:")) {
                    harness.endpoints[index]?.crash(BACK_AFTER_MS);
                } else {
                    socket.write(formatAnswer("hello", { headers: ["Redwinglift-Attempt-Id: attempt-1"] }));
                }
            }, WORK_MS);
    });
    harness = await createGatewayHarness(makeRoute({ attemptsMax: 3 }), scripts);
}

const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));
const send = (parts: string) => harness.send({ headers: { "redwinglift-prefix-hash": parts } });
const countDeadly = () =>
    harness.endpoints.flatMap(endpoint => endpoint.listRequests()).filter(request => request.includes("deadly:"))
        .length;

describe("the quarantine of prompt parts", () => {
    // Guards against one prompt part that ends endpoint after endpoint, by retries and by new requests.
    it("keeps a part that crashes endpoints from them, and no other", async () => {
        await startCrashing();
        const sound: number[] = [];
        const soundSenders = Array.from({ length: 4 }, async (_, sender) => {
            for (let round = 0; round < 100; round++) {
                const answer = await send(`${FIRST_PART},topic-${round % 5}:20,own-${sender}-${round}:3`);
                sound.push(answer.status);
                // The keys in force would become too old to be used while the test runs.
                harness.confirm();
                await sleep(20);
            }
        });
        await sleep(500);
        const deadly = Array.from({ length: 20 }, async (_, index) => {
            await sleep(index * 150);
            const answer = await send(`${FIRST_PART},deadly:40,own-d-${index}:3`);
            return answer.status;
        });
        const statuses = await Promise.all(deadly);
        await Promise.all(soundSenders);
        assert.ok(countDeadly() <= 4, `${countDeadly()} requests with the part reached endpoints`);
        assert.ok(
            statuses.every(status => status === 502 || status === 503),
            statuses.join(" "),
        );
        assert.deepEqual(
            sound.filter(status => status !== 200),
            [],
        );
    });

    // Guards against a second copy of a suspected request, sent because the first one is slow.
    it("lets a part return by one request, which is neither given up nor repeated", async () => {
        const answer = formatAnswer("hello", { headers: ["Redwinglift-Attempt-Id: attempt-1"] });
        let requests = 0;
        const scripts = [0, 1, 2].map((index): EndpointScript => {
            return (_request, socket) =>
                requests++ === 0 ? harness.endpoints[index]?.crash(100) : setTimeout(() => socket.write(answer), 700);
        });
        harness = await createGatewayHarness(makeRoute(), scripts);
        const statuses = [(await send("once:9,own:1")).status];
        await sleep(1_500);
        const together = await Promise.all([send("once:9,own:2"), send("once:9,own:3")]);
        assert.equal(requests, 2);
        statuses.push(...together.map(({ status }) => status).sort(), (await send("once:9,own:4")).status);
        assert.deepEqual(statuses, [502, 200, 503, 200]);
        const refused = together.find(({ status }) => status === 503);
        assert.match(refused?.body ?? "", /"prompt_quarantined".*"not_run"/);
        assert.ok(Number(refused?.headers["retry-after"]) > 0);
    });

    // Guards against a quarantine of parts that were at an endpoint as its connections were reset or it was stopped.
    it("suspects no part after a reset of connections, nor after the stop of a draining endpoint", async () => {
        let requests = 0;
        const reset: EndpointScript = (_request, socket) => {
            if (requests++ === 0) {
                socket.resetAndDestroy();
            } else {
                const endpoint = harness.directory.findEndpoint("i-0")?.endpoint ?? makeEndpoint("i-0");
                harness.directory.applyEntry({ id: "i-0", endpoint: { ...endpoint, isDraining: true } }, false);
                harness.endpoints[0]?.crash(5_000);
            }
        };
        harness = await createGatewayHarness(makeRoute({ attemptsMax: 1 }), [reset]);
        assert.equal((await send("once:9,own:1")).status, 502);
        assert.equal((await send("once:9,own:2")).status, 502);
        await sleep(400);
        assert.deepEqual(harness.components.quarantine.dumpState(), []);
    });
});
