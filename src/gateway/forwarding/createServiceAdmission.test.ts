import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { waitUntil } from "../../adapters/contracts/waitUntil";
import { HttpStatus } from "../../adapters/_lib/httpStatus";
import { FailureKind } from "../../base/failure";
import { makeRoute } from "../../decisions/gateway/_testing/makeRoute";
import { FAILURE_STATUS } from "../../http/failureStatus";
import type { GatewayAccount } from "../../model/gateway";
import { makeEndpoint } from "../_testing/makeEndpoint";
import { makeNews } from "../_testing/makeNews";
import { type AdmissionSubject, IDLE_LOAD, startAdmission } from "../_testing/startAdmission";

const ROUTE = makeRoute({ objectiveMs: 5_000, timeoutMs: 10_000 });
/** One node may run 1.25 times the four slots of an endpoint. */
const SEATS = 5;
const ACCOUNT: GatewayAccount = {
    name: "county",
    keys: ["key-1"],
    priority: undefined,
    quotaPerSecond: 125,
    quotaBurst: 0,
    countsTokens: true,
    defaultTokens: 10,
};
/** Over half of the quota of a window, so that a second one is admitted only after a refund. */
const LARGE = { path: "/a/large", headers: { "redwinglift-token-counts": "600,0" } };

let subject: AdmissionSubject;
afterEach(() => subject.harness.dispose());

const start = async (...options: Parameters<typeof startAdmission>) => {
    subject = await startAdmission(...options);
    return subject;
};
const countWaiting = () => {
    const [state] = subject.harness.components.admission.dumpState() as readonly { readonly waiting: number }[];
    return state?.waiting ?? 0;
};
/** Sends a request that has to wait, once the one before it waits. */
const sendWaiting = async (options: Parameters<AdmissionSubject["harness"]["send"]>[0] = {}) => {
    const before = countWaiting();
    const answer = subject.harness.send({ path: "/a/waiting", ...options });
    await waitUntil(() => countWaiting() === before + 1, "the request waits");
    return { answer };
};
const assertRefunded = async () => {
    subject.answer(SEATS);
    const answer = subject.harness.send(LARGE);
    await waitUntil(() => subject.reached.at(-1) === "/a/large", "it is sent");
    subject.answer(1);
    assert.equal((await answer).status, HttpStatus.Ok);
};

// Guards against: queuing where endpoints report no pace, or where they have room.
describe("a request to a service", () => {
    it("is sent at once if the endpoints report no pace", async () => {
        const { occupy, readMetrics } = await start(ROUTE, "0,0,4");
        await occupy(12);
        assert.equal(await readMetrics(), "");
    });

    it("is sent at once while the endpoints have room", async () => {
        const { occupy, readMetrics } = await start(ROUTE, IDLE_LOAD);
        await occupy(4);
        assert.equal(await readMetrics(), "");
    });

    it("is sent at once if no endpoint states slots", async () => {
        const { harness, occupy } = await start(ROUTE, "0,0,0,100");
        const { target } = harness.directory.findEndpoint("i-0")?.endpoint ?? makeEndpoint("i-0");
        harness.directory.applyEntry({ id: "i-0", endpoint: makeEndpoint("i-0", { target, slots: 0 }) }, false);
        await occupy(12);
    });

    // Guards against: a request waits for endpoints that it can't use.
    it("is sent at once if the endpoints with its model have room", async () => {
        const { harness, reached } = await start(ROUTE, IDLE_LOAD, { endpoints: 3 });
        for (const [id, model] of [
            ["i-0", "large"],
            ["i-1", "large"],
            ["i-2", "small"],
        ] as const) {
            const { target } = harness.directory.findEndpoint(id)?.endpoint ?? makeEndpoint(id);
            harness.directory.applyEntry({ id, endpoint: makeEndpoint(id, { target, loadedModels: [model] }) }, false);
        }
        const headers = { "redwinglift-model": "large" };
        for (let index = 0; index < 3 * SEATS; index++) {
            void harness.send({ path: "/a/x", headers });
            await waitUntil(() => reached.length === index + 1, "it is sent");
        }
        void harness.send({ path: "/a/small", headers: { "redwinglift-model": "small" } });
        await waitUntil(() => reached.at(-1) === "/a/small", "it is sent");
        assert.equal(countWaiting(), 0);
    });
});

describe("a request at nearly full endpoints", () => {
    // Guards against: more requests at the endpoints than the node's seats, and waiting ones that are never sent.
    it("waits until another one has ended", async () => {
        const { occupy, answer, reached, readMetrics } = await start(ROUTE, IDLE_LOAD);
        await occupy(SEATS);
        const waiting = await sendWaiting();
        assert.equal(reached.length, SEATS);
        assert.match(await readMetrics(), /waiting\{service="chat",of="requests"\} 1/);
        answer(1);
        await waitUntil(() => reached.at(-1) === "/a/waiting", "it is sent");
        answer(SEATS);
        assert.equal((await waiting.answer).status, HttpStatus.Ok);
        assert.match(await readMetrics(), /decision="waited"\} 1[^]*decision="started_later"\} 1/);
    });

    it("counts what the other nodes do there", async () => {
        const { harness } = await start(ROUTE, IDLE_LOAD);
        harness.directory.recordOthers(new Map([["i-0", { inFlight: 8, pendingTokens: 0 }]]));
        // Without this, what the endpoint itself has said lately would count.
        harness.directory.listAll("chat").forEach(record => (record.load = undefined));
        const seats = harness.components.admission.dumpState() as readonly { readonly isNearFull: boolean }[];
        assert.equal(seats[0]?.isNearFull, true);
    });

    // Guards against: less urgent requests that are sent first.
    it("is sent before one of a less urgent route that waits for longer", async () => {
        const { harness, occupy, answer, reached } = await start(ROUTE, IDLE_LOAD);
        harness.apply({
            routes: [ROUTE, { ...ROUTE, name: "urgent", pathPrefix: "/urgent/", priority: 0 }],
        });
        await occupy(SEATS);
        await sendWaiting();
        await sendWaiting({ path: "/urgent/x" });
        answer(1);
        await waitUntil(() => reached.length === SEATS + 1, "one is sent");
        assert.equal(reached.at(-1), "/urgent/x");
    });

    // Guards against: a request is held until its deadline, or its refusal says that it may have run.
    it("is refused as not run when it can't be on time any more, and its quota refunded", async () => {
        const { harness, occupy, reached } = await start({ ...ROUTE, objectiveMs: 400 }, IDLE_LOAD);
        harness.apply({ accounts: [ACCOUNT] });
        await occupy(SEATS);
        const waiting = await sendWaiting(LARGE);
        const { status, body, headers } = await waiting.answer;
        assert.equal(status, HttpStatus.ServiceUnavailable);
        assert.match(body, /"no_endpoint"[^]*"not_run"/);
        assert.ok(Number(headers["retry-after"]) > 0);
        assert.ok(!reached.includes("/a/large"));
        await assertRefunded();
    });

    it("is never sent if its caller leaves, and its quota refunded", async () => {
        const { harness, occupy, reached, readMetrics } = await start(ROUTE, IDLE_LOAD);
        harness.apply({ accounts: [ACCOUNT] });
        await occupy(SEATS);
        await sendWaiting({ ...LARGE, leavesAfterMs: 60 });
        await waitUntil(() => countWaiting() === 0, "none waits");
        assert.match(await readMetrics(), /decision="left"\} 1/);
        await assertRefunded();
        assert.equal(reached.filter(path => path === "/a/large").length, 1);
        assert.equal(harness.listener.countOpen(), 0);
    });

    it("is refused as not run when its own time is over", async () => {
        const { occupy, reached } = await start(ROUTE, IDLE_LOAD);
        await occupy(SEATS);
        const waiting = await sendWaiting({ headers: { "redwinglift-deadline-ms": "200" } });
        const { status, body } = await waiting.answer;
        assert.equal(status, HttpStatus.ServiceUnavailable);
        assert.match(body, /"not_run"/);
        assert.equal(reached.length, SEATS);
    });

    // Guards against: requests wait at a node that ends, instead of going to another one.
    it("is refused at once as not run when the node begins to stop", async () => {
        const { harness, occupy, answer, reached } = await start(ROUTE, IDLE_LOAD);
        await occupy(SEATS);
        const waiting = await sendWaiting();
        const stopped = harness.stop();
        const { status, body, headers } = await waiting.answer;
        assert.equal(status, HttpStatus.ServiceUnavailable);
        assert.match(body, /"shutting_down"[^]*"not_run"/);
        assert.equal(headers.connection, "close");
        const late = await harness.send({ path: "/a/late" });
        assert.match(late.body, /"shutting_down"[^]*"not_run"/);
        answer(SEATS);
        assert.equal(await stopped, 0);
        assert.equal(reached.length, SEATS);
    });

    // Guards against: a request is executed although its key was revoked while it waited.
    it("is refused if its key was removed while it waited", async () => {
        const { harness, occupy, answer, reached } = await start(ROUTE, IDLE_LOAD);
        await occupy(SEATS);
        const waiting = await sendWaiting();
        harness.apply({ accounts: [] });
        answer(1);
        const { status, body } = await waiting.answer;
        assert.equal(status, FAILURE_STATUS[FailureKind.Unauthenticated]);
        assert.match(body, /"not_run"/);
        assert.equal(reached.length, SEATS);
    });

    // Guards against: a request is executed outside the home regions that its route got while it waited.
    it("is refused if its home regions changed while it waited", async () => {
        const { harness, occupy, answer, reached } = await start(ROUTE, IDLE_LOAD);
        await occupy(SEATS);
        const waiting = await sendWaiting();
        harness.apply({ routes: [{ ...ROUTE, homeRegions: ["elsewhere"] }] });
        answer(1);
        const { status, body } = await waiting.answer;
        assert.equal(status, HttpStatus.ServiceUnavailable);
        assert.match(body, /"not_run"/);
        assert.equal(reached.length, SEATS);
    });

    // Guards against: waiting bodies that take the node's memory.
    it("is refused if the waiting ones hold as many bytes as they may", async () => {
        const { occupy } = await start(ROUTE, IDLE_LOAD, { memoryBytesMax: 40_000 });
        await occupy(SEATS);
        const body = "x".repeat(900);
        await sendWaiting({ method: "POST", body });
        const { status, body: refusal } = await subject.harness.send({ method: "POST", body });
        assert.equal(status, HttpStatus.ServiceUnavailable);
        assert.match(refusal, /"not_run"/);
        assert.match(await subject.readMetrics(), /decision="full"\} 1/);
        assert.equal(countWaiting(), 1);
    });

    // Guards against: requests wait for endpoints that have gone, instead of the refusal of the forwarder.
    it("waits no longer once no endpoint takes requests", async () => {
        const { harness, occupy } = await start(ROUTE, IDLE_LOAD);
        await occupy(SEATS);
        const waiting = await sendWaiting();
        harness.directory.listAll("chat").forEach(record => (record.refusedUntilMs = Number.MAX_SAFE_INTEGER));
        const { status, body } = await waiting.answer;
        assert.equal(status, HttpStatus.ServiceUnavailable);
        assert.match(body, /No endpoint took the request/);
        assert.match(await subject.readMetrics(), /decision="started_later"\} 1/, "and not because its time was over");
    });
});

// Guards against: an error in the admission costs requests.
describe("after an error in the admission", () => {
    const startBroken = () => {
        let isBroken = false;
        const news = makeNews({
            readLoad: () => {
                if (isBroken) {
                    throw new Error("no sums");
                }
                return { tokensPerSecond: 0, inFlight: 0 };
            },
        });
        const breakNews = () => {
            isBroken = true;
        };
        return start(ROUTE, IDLE_LOAD, { replace: () => ({ news }) }).then(started => ({ ...started, breakNews }));
    };
    const assertCounted = async () =>
        assert.match(
            await subject.harness.components.metrics.formatMetrics(),
            /redwinglift_internal_failures_total\{owner="admission"\} [1-9]/,
        );

    it("requests are sent as without it", async () => {
        const { occupy, breakNews } = await startBroken();
        breakNews();
        await occupy(SEATS + 3);
        await assertCounted();
    });

    it("a waiting one isn't sent if its key was removed", async () => {
        const { harness, occupy, breakNews, reached } = await startBroken();
        await occupy(SEATS);
        const waiting = await sendWaiting();
        harness.apply({ accounts: [] });
        breakNews();
        assert.equal((await waiting.answer).status, FAILURE_STATUS[FailureKind.Unauthenticated]);
        assert.equal(reached.length, SEATS);
    });

    it("the waiting ones are sent", async () => {
        const { occupy, breakNews, reached, answer } = await startBroken();
        await occupy(SEATS);
        const waiting = await sendWaiting();
        breakNews();
        await waitUntil(() => reached.at(-1) === "/a/waiting", "it is sent");
        answer(SEATS + 1);
        assert.equal((await waiting.answer).status, HttpStatus.Ok);
        await assertCounted();
    });
});
