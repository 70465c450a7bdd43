import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { makeRoute } from "../../decisions/gateway/_testing/makeRoute";
import { createGatewayHarness, type GatewayHarness } from "../_testing/createGatewayHarness";
import { type EndpointScript, formatAnswer } from "../_testing/startScriptedEndpoint";

const ENDPOINTS = 9;
const LOST_ENDPOINTS = 4;
const WORK_MS = 60;
const ANSWER = formatAnswer("hello", { headers: ["Redwinglift-Attempt-Id: attempt-1"] });

let harness: GatewayHarness;
afterEach(() => harness.dispose());
const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

/** Starts endpoints that answer after a while; those that get a request with `x-deadly` crash. */
async function startEndpoints() {
    const scripts = Array.from({ length: ENDPOINTS }, (_, index): EndpointScript => {
        return (request, socket) =>
            setTimeout(() => {
                if (request.includes("x-deadly")) {
                    harness.endpoints[index]?.crash(400);
                } else if (!socket.destroyed) {
                    socket.write(ANSWER);
                }
            }, WORK_MS);
    });
    harness = await createGatewayHarness(makeRoute({ attemptsMax: 3 }), scripts);
}

/** Sends a request, with prompt parts if any are given. */
async function send(parts: string | undefined, headers: Record<string, string> = {}): Promise<number> {
    const all = parts === undefined ? headers : { ...headers, "redwinglift-prefix-hash": parts };
    return (await harness.send({ headers: all })).status;
}

/** Prompts of ordinary requests: with shared parts, with a part of their own only, and without any. */
const makePrompts = (round: string) =>
    Array.from({ length: 8 }, (_, index) => [
        `base:9,own-${round}-${index}:1`,
        `own-${round}-${index}:1`,
        undefined,
    ]).flat();

describe("the quarantine in a wave of crashes of another cause", () => {
    // Guards against ordinary requests that are lost since their endpoints crashed, though others could answer them.
    it("sends the requests of a failure domain that is reclaimed at once again, and refuses none after it", async () => {
        await startEndpoints();
        for (let round = 0; round < 5; round++) {
            await send(`base:9,own-first-${round}:1`);
        }
        const together = Promise.all(makePrompts("wave").map(parts => send(parts)));
        await sleep(WORK_MS / 2);
        const lost = [...harness.endpoints]
            .sort((left, right) => right.listRequests().length - left.listRequests().length)
            .slice(0, LOST_ENDPOINTS);
        lost.forEach(endpoint => endpoint.crash(1_500));
        const statuses = await together;
        assert.ok(
            lost.every(({ listRequests }) => listRequests().length > 0),
            "an endpoint that crashed had no request",
        );
        assert.deepEqual(new Set(statuses), new Set([200]), statuses.join(" "));
        const after = await Promise.all(makePrompts("after").map(parts => send(parts)));
        assert.deepEqual(new Set(after), new Set([200]), after.join(" "));
    });

    // Guards against equal requests of many callers that are held because endpoints crash under some of them.
    it("goes on to send equal requests while endpoints crash one after the other", async () => {
        await startEndpoints();
        const statuses: number[] = [];
        const senders = Array.from({ length: 6 }, async () => {
            for (let round = 0; round < 25; round++) {
                statuses.push(await send(undefined), await send("base:9"));
                harness.confirm();
            }
        });
        for (let index = 0; index < LOST_ENDPOINTS; index++) {
            await sleep(500);
            harness.endpoints[index]?.crash(400);
        }
        await Promise.all(senders);
        assert.deepEqual(
            statuses.filter(status => status !== 200),
            [],
        );
    });

    // Guards against sound requests that are taken for the cause, since they were beside a deadly one.
    it("stops a deadly request after two crashes, and repeats the sound ones beside it", async () => {
        await startEndpoints();
        const sound: number[] = [];
        const senders = Array.from({ length: 6 }, async (_, sender) => {
            for (let round = 0; round < 20; round++) {
                sound.push(await send(`base:9,own-${sender}-${round}:1`));
                harness.confirm();
            }
        });
        const deadly: number[] = [];
        for (let round = 0; round < 4; round++) {
            await sleep(500);
            deadly.push(await send("base:9,deadly:1", { "x-deadly": "1" }));
        }
        await Promise.all(senders);
        const reached = harness.endpoints.flatMap(({ listRequests }) =>
            listRequests().filter(text => text.includes("x-deadly")),
        );
        assert.ok(reached.length <= 5, `${reached.length} deadly requests reached endpoints`);
        assert.ok(
            deadly.every(status => status === 502 || status === 503),
            deadly.join(" "),
        );
        assert.deepEqual(
            sound.filter(status => status !== 200),
            [],
        );
    });
});
