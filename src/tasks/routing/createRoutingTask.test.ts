import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { err, ok, type Result } from "neverthrow";
import { createFailure } from "../../base/createFailure";
import { createManualClock } from "../../base/createManualClock";
import { createRandom } from "../../base/createRandom";
import { pollMessage } from "../../base/csp";
import { type Failure, FailureKind } from "../../base/failure";
import { encodeLoadDigest } from "../../decisions/routing/encodeLoadDigest";
import { hashName } from "../../decisions/routing/hashName";
import { type Configuration, MoveState, ServiceKind } from "../../model/configuration";
import { type Endpoint, type EndpointLoad, type VmRecord, VmRole, VmState } from "../../model/endpoint";
import type { ExchangeTopic, ExchangeUpdate } from "../../nodes/nodeExchange";
import { createRoutingTask } from "./createRoutingTask";
import { AttemptReportKind, type RouteDecision } from "./routingClient";

const CONFIGURATION: Configuration = {
    revision: 1,
    classes: {
        question: {
            name: "question",
            latencyTargetMs: 1_000,
            tokenGapTargetMs: 50,
            deadlineMs: 10_000,
            costCeilingMicros: 500,
            isIdempotent: true,
        },
    },
    accounts: {},
    services: { news: { name: "news", kind: ServiceKind.Model, version: "v1" } },
    endpointTraits: {},
    versionMoves: {},
};

function createVm(vmId: string, change: Partial<VmRecord> = {}): VmRecord {
    const place = { region: "hobart", failureDomain: "hobart-a", address: "127.0.0.1", port: 1, incarnation: 1 };
    const kind = { role: VmRole.ModelRunner, machineClass: "m", isReclaimable: true };
    return { vmId, ...place, ...kind, state: VmState.Live, serviceName: "news", version: "v1", ...change };
}

function createFixture(options: { configuration?: Configuration } = {}) {
    const clock = createManualClock();
    const listeners: ((vms: readonly VmRecord[]) => void)[] = [];
    const digestListeners: ((update: ExchangeUpdate) => void)[] = [];
    const published: Uint8Array[] = [];
    const silent = new Set<string>();
    const loads = new Map<string, Partial<EndpointLoad>>();
    const probes: string[] = [];
    const braked = new Set<string>();
    let vms: readonly VmRecord[] = [createVm("a"), createVm("b")];
    const answer = <T>(endpoint: Endpoint, value: T): Result<T, Failure> =>
        silent.has(endpoint.endpointId) ? err(createFailure(FailureKind.EndpointSilent, "silent")) : ok(value);
    const idle = { running: 0, waiting: 0, pendingPrefillTokens: 0, cacheUse: 0, ageMs: 0 };
    const runner = {
        readLoad: async (endpoint: Endpoint) => {
            const { endpointId } = endpoint;
            const speed = { prefillTokensPerSecond: 8_000, tokenGapMs: 20 };
            return answer(endpoint, { endpointId, ...idle, ...speed, ...loads.get(endpointId) });
        },
        listCacheEvents: async (endpoint: Endpoint) => answer(endpoint, []),
        probeRunner: async (endpoint: Endpoint) => {
            probes.push(endpoint.endpointId);
            return answer(endpoint, undefined);
        },
    };
    const routing = createRoutingTask({
        clock,
        random: createRandom(3),
        nodeId: "node-1",
        placement: { region: "hobart", failureDomain: "hobart-a" },
        configuration: { readCurrent: () => options.configuration ?? CONFIGURATION },
        directory: {
            listVms: () => vms,
            subscribeChanges: listener => {
                listeners.push(listener);
                return () => undefined;
            },
        },
        exchange: {
            publishUpdate: (topic, key, payload) => void published.push(payload),
            subscribeTopic: (topic, listener) => {
                digestListeners.push(listener);
                return () => undefined;
            },
            listLiveNodeIds: () => ["node-1", "node-2"],
        },
        modelRunners: runner,
        applicationRunners: runner,
        cloud: { listPrices: async () => ok([]) },
        isBraked: (serviceName, version) => braked.has(version),
        reportFailure: (name, failure) => assert.fail(`${name}: ${failure.message}`),
    });
    const runFor = async (totalMs: number) => {
        for (let passedMs = 0; passedMs < totalMs; passedMs += 50) {
            await new Promise(resolve => setImmediate(resolve));
            clock.advanceMs(50);
            await new Promise(resolve => setImmediate(resolve));
        }
    };
    const setVms = (next: readonly VmRecord[]) => {
        vms = next;
        listeners.forEach(listener => listener(next));
    };
    let requests = 0;
    const choose = async (excludedEndpointIds: readonly string[] = [], attempt = 1, route = "chat") => {
        const nowMs = clock.readMonotonicMs();
        const id = { requestId: `r${requests++}`, attempt };
        const times = { acceptedAtMs: nowMs, firstTokenDueAtMs: nowMs + 1_000, deadlineAtMs: nowMs + 10_000 };
        const context = { requestId: id.requestId, accountName: "x", className: "question", isIdempotent: true };
        const size = { promptTokens: 400, maximumTokens: 100, prefixHashes: [], excludedEndpointIds };
        const base = { id, context: { ...context, ...times }, serviceName: "news", route, ...size };
        const result: Result<RouteDecision, Failure> = await routing.chooseEndpoint(base);
        return { id, result, endpointId: result.map(route => route.endpoint.endpointId).unwrapOr("none") };
    };
    const report = (
        chosen: { id: { requestId: string; attempt: number }; endpointId: string },
        kind: AttemptReportKind,
        failureKind?: FailureKind,
    ) => {
        const failure = failureKind === undefined ? undefined : createFailure(failureKind, "x");
        const { id, endpointId } = chosen;
        routing.recordReport({ kind, id, endpointId, elapsedMs: 90, tokens: 0, failure });
    };
    const deliverDigest = (payload: Uint8Array) =>
        digestListeners.forEach(listener =>
            listener({ topic: "load_digest" as ExchangeTopic, fromNodeId: "node-2", key: "", payload }),
        );
    const fixture = { clock, routing, runFor, setVms, choose, report, silent, loads, probes, braked };
    return { ...fixture, published, deliverDigest };
}

describe("the routing task", () => {
    it("sends no attempts to an endpoint as soon as it is leaving", async () => {
        const { routing, runFor, setVms, choose } = createFixture();
        await runFor(200);
        setVms([createVm("a", { state: VmState.Leaving }), createVm("b")]);
        for (let index = 0; index < 20; index++) {
            assert.equal((await choose()).endpointId, "b");
        }
        setVms([createVm("a", { state: VmState.Leaving })]);
        const failure = (await choose()).result._unsafeUnwrapErr();
        assert.equal(failure.kind, FailureKind.NoEndpoint);
        assert.equal(routing.readCapacity("news", 500).liveEndpoints, 0);
        routing.dispose();
    });

    it("counts attempts at a leaving endpoint as in progress until they end", async () => {
        const { routing, runFor, setVms, choose, report } = createFixture();
        await runFor(200);
        const chosen = await choose(["b"]);
        setVms([createVm("a", { state: VmState.Leaving }), createVm("b")]);
        await runFor(200);
        assert.equal(routing.readCapacity("news", 500).ownInFlight, 1);
        report(chosen, AttemptReportKind.Finished);
        await runFor(200);
        assert.equal(routing.readCapacity("news", 500).ownInFlight, 0);
        routing.dispose();
    });

    it("notifies watchers when their endpoint is leaving and when it is gone", async () => {
        const { clock, routing, setVms } = createFixture();
        const { notices, release } = routing.watchEndpoint("a");
        const other = routing.watchEndpoint("b");
        assert.equal(pollMessage(notices), undefined);
        const reclaimAtWallMs = clock.readWallMs() + 30_000;
        setVms([createVm("a", { state: VmState.Leaving, reclaimAtWallMs }), createVm("b")]);
        assert.deepEqual(pollMessage(notices), { endpointId: "a", goneAtMs: 30_000 });
        setVms([createVm("b")]);
        assert.deepEqual(pollMessage(notices), { endpointId: "a" });
        assert.equal(pollMessage(other.notices), undefined);
        setVms([createVm("b", { incarnation: 2 })]);
        assert.deepEqual(pollMessage(other.notices), { endpointId: "b" });
        release();
        assert.deepEqual(pollMessage(routing.watchEndpoint("a").notices), { endpointId: "a" });
        routing.dispose();
    });

    it("prefers the endpoint with the shorter queue, including attempts sent since the last load report", async () => {
        const { routing, runFor, choose, loads } = createFixture();
        loads.set("a", { running: 4, pendingPrefillTokens: 8_000 });
        await runFor(400);
        const chosen = [];
        for (let index = 0; index < 10; index++) {
            chosen.push((await choose()).endpointId);
        }
        assert.equal(chosen.filter(endpointId => endpointId === "b").length, 10);
        for (let index = 0; index < 20; index++) {
            chosen.push((await choose()).endpointId);
        }
        assert.ok(chosen.includes("a"), "once 10 s of prefill went to b between two reports, a is no worse");
        routing.dispose();
    });

    it("removes a failing endpoint and restores it after a probe and a successful attempt", async () => {
        const { routing, runFor, choose, report, silent, probes } = createFixture();
        await runFor(200);
        silent.add("a");
        for (let failures = 0; failures < 3; failures++) {
            const chosen = await choose(["b"]);
            assert.equal(chosen.endpointId, "a");
            report(chosen, AttemptReportKind.Failed, FailureKind.EndpointFailed);
        }
        await runFor(100);
        for (let index = 0; index < 10; index++) {
            const chosen = await choose();
            assert.equal(chosen.endpointId, "b");
            report(chosen, AttemptReportKind.Finished);
        }
        await runFor(3_000);
        assert.ok(probes.includes("a"));
        assert.equal((await choose(["b"])).endpointId, "none");
        silent.clear();
        await runFor(10_000);
        const trial = await choose(["b"]);
        assert.equal(trial.endpointId, "a");
        assert.equal((await choose(["b"])).endpointId, "none", "one attempt at a time while on trial");
        report(trial, AttemptReportKind.Finished);
        await runFor(100);
        assert.equal((await choose(["b"])).endpointId, "a");
        routing.dispose();
    });

    it("retries a removed route while other routes of the endpoint are in use", async () => {
        const { routing, runFor, choose, report } = createFixture();
        await runFor(200);
        await choose(["b"], 1, "/articles");
        for (let failures = 0; failures < 3; failures++) {
            const chosen = await choose(["b"], 1, "/tags");
            report(chosen, AttemptReportKind.Failed, FailureKind.EndpointFailed);
            await runFor(50);
            report(await choose(["b"], 1, "/articles"), AttemptReportKind.Finished);
        }
        assert.equal((await choose(["b"], 1, "/tags")).endpointId, "none");
        assert.equal((await choose(["b"], 1, "/articles")).endpointId, "a");
        await runFor(4_000);
        const trial = await choose(["b"], 1, "/tags");
        assert.equal(trial.endpointId, "a");
        assert.equal((await choose(["b"], 1, "/tags")).endpointId, "none");
        report(trial, AttemptReportKind.Finished);
        assert.equal((await choose(["b"], 1, "/tags")).endpointId, "a");
        routing.dispose();
    });

    it("keeps an endpoint whose existing connections are silent while new ones work", async () => {
        const { routing, runFor, choose, report, probes } = createFixture();
        await runFor(200);
        for (let index = 0; index < 12; index++) {
            const chosen = await choose(["b"]);
            assert.equal(chosen.endpointId, "a");
            report(chosen, AttemptReportKind.Failed, FailureKind.EndpointSilent);
            await runFor(100);
        }
        assert.ok(probes.filter(endpointId => endpointId === "a").length >= 10);
        routing.dispose();
    });

    it("removes an endpoint that answers neither reads nor probes", async () => {
        const { routing, runFor, choose, silent } = createFixture();
        await runFor(200);
        silent.add("a");
        await runFor(3_000);
        assert.equal((await choose(["b"])).endpointId, "none");
        routing.dispose();
    });

    it("sends the new version its share of a version move, and nothing while it is braked", async () => {
        const move = {
            name: "m",
            serviceName: "news",
            fromVersion: "v1",
            toVersion: "v2",
            doneByWallMs: 0,
            state: MoveState.Moving,
            share: 0.25,
            reason: "",
        };
        const configuration = { ...CONFIGURATION, versionMoves: { m: move } };
        const { routing, runFor, choose, setVms, braked } = createFixture({ configuration });
        setVms([createVm("a"), createVm("b", { version: "v2" })]);
        await runFor(200);
        const count = async () => {
            let newVersion = 0;
            for (let index = 0; index < 400; index++) {
                newVersion += (await choose()).endpointId === "b" ? 1 : 0;
            }
            return newVersion;
        };
        const share = (await count()) / 400;
        assert.ok(share > 0.18 && share < 0.32, String(share));
        braked.add("v2");
        assert.equal(await count(), 0);
        routing.dispose();
    });

    it("shares free slots with other nodes in proportion to the demand in their digests", async () => {
        const { routing, runFor, published, deliverDigest } = createFixture();
        await runFor(200);
        routing.recordDemand("news", 10_000);
        await runFor(200);
        const alone = routing.readCapacity("news", 500).freeSlots;
        const inFlight = new Map([[hashName("hobart-a"), 4]]);
        const serviceHash = hashName("news");
        deliverDigest(encodeLoadDigest([{ serviceHash, demandTokensPerSecond: 30_000, inFlight }]));
        await runFor(400);
        assert.ok(routing.readCapacity("news", 500).freeSlots < alone, "the other node has most of the demand");
        assert.ok(published.length > 0);
        assert.ok(published.every(payload => payload.length <= 96));
        routing.dispose();
    });

    it("fails with UnknownService for an unknown service", async () => {
        const { routing, choose } = createFixture({ configuration: { ...CONFIGURATION, services: {} } });
        assert.equal((await choose()).result._unsafeUnwrapErr().kind, FailureKind.UnknownService);
        routing.dispose();
    });
});
