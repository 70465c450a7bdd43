import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { makeReport } from "../../decisions/relays/_testing/makeReport";
import { makeRoute } from "../../decisions/gateway/_testing/makeRoute";
import { createPartEvidence } from "../../decisions/gateway/createPartEvidence";
import { mergeSuspects, sumClearances } from "../../decisions/relays/mergeSuspects";
import { PLATFORM_CODEC } from "../../../platform/forwardingCodec";
import { createGatewayHarness, type GatewayHarness } from "../_testing/createGatewayHarness";
import { type EndpointScript, formatAnswer } from "../_testing/startScriptedEndpoint";
import { createPartQuarantine } from "./createPartQuarantine";
import { encodeNews, NewsKind } from "../news/newsCodec";
import { listSharedParts } from "../../decisions/gateway/listSharedParts";

const BYTES_MAX = 65_507;
let harness: GatewayHarness | undefined;
afterEach(() => harness?.dispose());
const ANSWER = (status = "200 OK") =>
    formatAnswer("hello", { headers: ["Redwinglift-Attempt-Id: attempt-1"] }).replace("200 OK", status);
const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

describe("the quarantine", () => {
    // Guards against callers whose long part ids make each report too large for a datagram, which stops all news.
    it("sends reports that fit a datagram, however long the ids of parts are", () => {
        const book = createPartEvidence();
        for (let request = 0; request < 32; request++) {
            const text = `${request}${"x".repeat(3_000)}:10,own:1`;
            const head = PLATFORM_CODEC.readCallerHead({ "redwinglift-prefix-hash": text });
            book.recordCrash("c1", listSharedParts(head.promptParts), 1_000);
        }
        const suspects = mergeSuspects([book.readEvidence(1_100)], sumClearances);
        const bytes = encodeNews({ kind: NewsKind.Report, wantsViews: true, report: makeReport("a", { suspects }) });
        assert.ok(bytes.length <= BYTES_MAX, `${bytes.length} bytes`);
    });

    // Guards against an endpoint that rejects a request, and never works on its prompt, and thereby frees the part.
    it("frees no part because an endpoint answers with a failure", async () => {
        let crashes = 0;
        const scripts = Array.from({ length: 6 }, (_, index): EndpointScript => {
            return (request, socket) => {
                if (request.includes("x-bad: 1")) {
                    socket.write(ANSWER("400 Bad Request"));
                } else {
                    crashes++;
                    harness?.endpoints[index]?.crash(400);
                }
            };
        });
        harness = await createGatewayHarness(makeRoute({ attemptsMax: 1 }), scripts);
        const send = (headers: Record<string, string>) =>
            harness?.send({ headers: { ...headers, "redwinglift-prefix-hash": "base:9,deadly:9,own:1" } });
        const seen: (number | undefined)[] = [];
        for (let round = 0; round < 6; round++) {
            seen.push((await send({}))?.status);
            await sleep(2_600);
            harness.confirm();
            seen.push((await send({ "x-bad": "1" }))?.status);
            await sleep(400);
            harness.confirm();
        }
        assert.ok(crashes <= 4, `${crashes} crashes, statuses ${seen.join(" ")}`);
    });

    // Guards against sound requests that fail because an endpoint crashed of another cause: others could answer them.
    it("sends a request with a rare part again after a single crash", async () => {
        let isFirst = true;
        const scripts = Array.from({ length: 3 }, (_, index): EndpointScript => {
            return (_request, socket) => {
                if (isFirst) {
                    isFirst = false;
                    harness?.endpoints[index]?.crash(3_000);
                } else {
                    socket.write(ANSWER());
                }
            };
        });
        harness = await createGatewayHarness(makeRoute({ attemptsMax: 3 }), scripts);
        const answer = await harness.send({ headers: { "redwinglift-prefix-hash": "base:9,rare:9,own:1" } });
        assert.equal(answer.status, 200);
    });

    // Guards against a fault in the last part, or in a request without parts, that ends endpoint after endpoint.
    for (const parts of ["deadly:9", "base:9,deadly:9", undefined]) {
        it(`keeps a request from crashing endpoint after endpoint: ${String(parts)}`, async () => {
            let crashes = 0;
            const scripts = Array.from({ length: 8 }, (_, index): EndpointScript => {
                return (request, socket) => {
                    if (request.includes("x-deadly")) {
                        crashes++;
                        harness?.endpoints[index]?.crash(400);
                    } else {
                        socket.write(ANSWER());
                    }
                };
            });
            harness = await createGatewayHarness(makeRoute({ attemptsMax: 3 }), scripts);
            const sound: (number | undefined)[] = [];
            for (let round = 0; round < 6; round++) {
                const headers = parts === undefined ? {} : { "redwinglift-prefix-hash": parts };
                await harness.send({ headers: { ...headers, "x-deadly": "1" } });
                sound.push((await harness.send({ headers: { "redwinglift-prefix-hash": "base:9,own:1" } })).status);
                await sleep(700);
                harness.confirm();
            }
            assert.ok(crashes <= 5, `${crashes} crashes by 6 requests`);
            assert.deepEqual(new Set(sound), new Set([200]), sound.join(" "));
        });
    }

    // Guards against an answer that waits for the check of a crash beyond the timeout of its route.
    it("answers by the timeout while the address of a broken connection is silent", async () => {
        const reset: EndpointScript = (_request, socket) => void setTimeout(() => socket.resetAndDestroy(), 500);
        harness = await createGatewayHarness(makeRoute({ attemptsMax: 1, timeoutMs: 600 }), [reset]);
        const { components } = harness;
        const quarantine = createPartQuarantine({
            ...components,
            nodeName: "node-1",
            readNodeCount: () => 1,
            isRefusing: () => sleep(350).then(() => false),
        });
        Object.assign(components, { quarantine });
        const beganAtMs = performance.now();
        await harness.send({ headers: { "redwinglift-prefix-hash": "base:9,rare:9,own:1" } });
        const tookMs = Math.round(performance.now() - beganAtMs);
        assert.ok(tookMs < 1_100, `${tookMs} ms with a timeout of 600 ms`);
    });

    // Guards against a deadly part that is left out of the news, since many rare parts were in progress as well.
    it("convicts a part across nodes though each crash has more rare parts than news may name", () => {
        const books = Array.from({ length: 9 }, () => createPartEvidence());
        for (let crash = 0; crash < 7; crash++) {
            const nowMs = 1_000 + crash * 1_500;
            for (let request = 0; request < 40; request++) {
                books[crash]?.recordCrash(`c${crash}`, [`a-${crash}-${request}`], nowMs);
            }
            books[crash]?.recordCrash(`c${crash}`, ["deadly"], nowMs);
            const view = mergeSuspects(
                books.map(book => mergeSuspects([book.readEvidence(nowMs + 500)], sumClearances)),
                sumClearances,
            );
            books.forEach(book => book.merge(view, nowMs + 500));
        }
        assert.ok(books[8]?.findFacts("deadly", 12_000)?.isQuarantined, "not convicted after seven crashes");
    });
});
