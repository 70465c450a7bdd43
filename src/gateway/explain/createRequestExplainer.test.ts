import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { makeRoute } from "../../decisions/gateway/_testing/makeRoute";
import { createRandom } from "../../base/createRandom";
import type { Random } from "../../base/random";
import type { GatewayEndpoint, GatewayRoute, GatewaySettings } from "../../model/gateway";
import { createGatewayHarness, type GatewayHarness } from "../_testing/createGatewayHarness";
import { makeEndpoint } from "../_testing/makeEndpoint";
import { type EndpointScript, formatAnswer } from "../_testing/startScriptedEndpoint";
import { decodeExplainQuery } from "./explainQuery";
import type { Explanation } from "./explanation";

let harness: GatewayHarness;
afterEach(() => harness.dispose());

const HEADERS = ["Redwinglift-Attempt-Id: attempt-1"];
const answer: EndpointScript = (_request, socket) => void socket.write(formatAnswer("hello", { headers: HEADERS }));
const answerWithPace: EndpointScript = (_request, socket) =>
    void socket.write(formatAnswer("hello", { headers: [...HEADERS, "Redwinglift-Instance-Load: 1,0,4,140"] }));
const REGIONS = { "hobart-1": "hobart", "hobart-2": "hobart", "perth-1": "perth" };

/** Counts the draws of a stream of random numbers. */
function createCountedRandom(): Random & { countDraws(): number } {
    const random = createRandom(5);
    let draws = 0;
    const count = <T>(value: T): T => {
        draws++;
        return value;
    };
    return {
        drawFraction: () => count(random.drawFraction()),
        drawInteger: (low, high) => count(random.drawInteger(low, high)),
        countDraws: () => draws,
    };
}

/** Starts a node in hobart-1 before endpoints `i-0`, `i-1` and so on; `changes` are those of each. */
async function createNode(
    changes: readonly Partial<GatewayEndpoint>[],
    options: {
        readonly route?: Partial<GatewayRoute>;
        readonly script?: EndpointScript;
        readonly settings?: Partial<GatewaySettings>;
        readonly random?: Random;
    } = {},
): Promise<void> {
    const { route = {}, script = answer, settings = {}, random } = options;
    harness = await createGatewayHarness(
        makeRoute(route),
        changes.map(() => script),
        { replace: () => (random === undefined ? {} : { random }) },
    );
    Object.assign(harness.components.settings, { regions: REGIONS, ...settings });
    const entries = harness.endpoints.map(({ address, port }, index) => {
        const endpoint = makeEndpoint(`i-${index}`, { target: { address, port }, ...changes[index] });
        return { id: endpoint.id, endpoint };
    });
    harness.directory.replaceAll([], false);
    harness.directory.replaceAll(entries, false);
    const listed = entries.map(({ endpoint }) => endpoint);
    harness.components.rollouts.recordVersions(listed, true);
}

function explain(text: string): Explanation {
    const explanation = decodeExplainQuery(text).andThen(harness.explainRequest);
    assert.ok(explanation.isOk(), JSON.stringify(explanation));
    return explanation.value;
}

function findRecord(id: string) {
    const record = harness.directory.findEndpoint(id);
    assert.ok(record !== undefined);
    return record;
}

/** Reads everything of a node that a request changes. */
async function readState() {
    const { components, directory, quotas, endpoints } = harness;
    const { metrics, limits, coldEndpoints, quarantine, rollouts, evacuations, clock } = components;
    return {
        metrics: await metrics.formatMetrics(),
        dumps: [directory, limits, coldEndpoints, evacuations].map(source => source.dumpState()),
        // Without their decisions, which name the time from now.
        parts: (quarantine.dumpState() as readonly { readonly facts: unknown }[]).map(({ facts }) => facts),
        versions: (rollouts.dumpState() as { readonly versions: unknown }).versions,
        activity: directory.readActivity(),
        usage: quotas.describeUsage(clock.readMonotonicMs()),
        requests: endpoints.map(endpoint => endpoint.listRequests().length),
        connections: endpoints.map(endpoint => endpoint.countConnections()),
        counted: [...harness.countedAccounts],
    };
}

describe("an explanation", () => {
    // Guards against: asking charges a quota, moves a counter, draws a random number, takes a permit of a cold or limited
    // endpoint, or opens a connection.
    it("changes nothing at the node, with spillover, a limit, a cold endpoint and a suspected part", async () => {
        const random = createCountedRandom();
        const domains = ["hobart-1", "hobart-1", "hobart-2", "perth-1"];
        const changes = domains.map(failureDomain => ({ failureDomain }));
        const options = { random, script: answerWithPace, settings: { hasSpillover: true } };
        await createNode(changes, { ...options, route: { attemptsMax: 1 } });
        const { components } = harness;
        const [account] = harness.configuration.readCurrent()?.configuration.accounts ?? [];
        assert.ok(account !== undefined);
        harness.apply({
            accounts: [{ ...account, quotaPerSecond: 100, quotaBurst: 20 }],
            services: [
                {
                    name: "chat",
                    connectionsMax: 9,
                    engine: undefined,
                    fleet: undefined,
                    coldPerSecond: 5,
                    coldStartMs: 9_000,
                },
            ],
        });
        harness.confirm();
        assert.equal((await harness.send()).status, 200);
        const head = components.codec.readResponseHead(200, { "redwinglift-max-rps": "3" });
        components.limits.recordAnswer(findRecord("i-1"), { ...head, requestsPerSecondMax: 3 }, 0);
        findRecord("i-2").coldUntilMs = components.clock.readMonotonicMs() + 60_000;
        findRecord("i-3").mayHaveRestartedAtMs = components.clock.readMonotonicMs();
        assert.equal((await harness.send()).status, 200);
        const evidence = { crashes: { k1: 100 }, clearances: 0, earlierClearances: 0 };
        components.quarantine.mergeEvidence({ bad: evidence });
        const before = await readState();
        const drawsBefore = random.countDraws();
        for (let asked = 0; asked < 20; asked++) {
            const explained = explain("path=/a/b&account=county&prefix=bad:20,own:5&tokens=25,10&tried=i-9");
            assert.equal(explained.services[0]?.candidates.length, 4);
            assert.equal(explained.services[0].domains[0]?.failureDomain, "hobart-1");
            explain("path=/a/b&account=county");
            assert.equal(explained.quarantine, "held");
        }
        assert.equal(random.countDraws(), drawsBefore);
        assert.deepEqual(await readState(), before);
    });

    // Guards against: the explanation names another endpoint than the one that gets the request.
    it("names the endpoint that gets the request, and those that have no chance", async () => {
        await createNode([{ failureDomain: "perth-1" }, {}, { failureDomain: "hobart-2", isDraining: true }]);
        const [service] = explain("path=/a/b&account=county").services;
        assert.deepEqual(service?.chosen, { endpointId: "i-1", chance: 1 });
        assert.deepEqual(service.domains, [{ chance: 1, rule: "only", endpoints: 1, failureDomain: undefined }]);
        assert.deepEqual(
            service.candidates.map(({ endpointId, region, filter }) => [endpointId, region, filter]),
            [
                ["i-1", "hobart", undefined],
                ["i-0", "perth", undefined],
                ["i-2", "hobart", "draining"],
            ],
        );
        assert.deepEqual(service.counts, { open: 2, draining: 1 });
        for (let sent = 0; sent < 5; sent++) {
            assert.equal((await harness.send()).status, 200);
        }
        assert.deepEqual(
            harness.endpoints.map(endpoint => endpoint.listRequests().length),
            [0, 5, 0],
        );
    });

    it("says where chance decides: equal estimates, and services by weight", async () => {
        const targets = [
            { service: "chat", weight: 3 },
            { service: "other", weight: 1 },
        ];
        await createNode([{}, {}, { service: "other" }], { route: { targets } });
        const { services, refusals } = explain("path=/a/b&account=county");
        assert.deepEqual(
            services.map(({ service, chance, chosen }) => [service, chance, chosen?.chance]),
            [
                ["chat", 0.75, 0.5],
                ["other", 0.25, 1],
            ],
        );
        assert.deepEqual(services[0]?.domains[0]?.rule, "tied");
        assert.deepEqual(refusals, []);
    });

    it("says by which filter each endpoint is left out", async () => {
        const named = { loadedModels: ["m"] };
        await createNode(
            [
                named,
                { loadedModels: ["n"] },
                { ...named, failureDomain: "perth-1" },
                { ...named, failureDomain: "hobart-2" },
                named,
                named,
                { ...named, coldForMs: 60_000 },
                named,
                { ...named, version: "v2" },
                named,
            ],
            { route: { homeRegions: ["hobart"] } },
        );
        const { clock, limits, codec, evacuations, rollouts } = harness.components;
        harness.apply({
            services: [{ name: "chat", connectionsMax: 9, engine: undefined, fleet: undefined, coldPerSecond: 5 }],
        });
        harness.confirm();
        const nowMs = clock.readMonotonicMs();
        evacuations.applyChanges([{ failureDomain: "hobart-2", isEvacuated: true }], false);
        findRecord("i-4").refusedUntilMs = nowMs + 60_000;
        limits.recordAnswer(findRecord("i-5"), { ...codec.readResponseHead(200, {}), requestsPerSecondMax: 3 }, nowMs);
        rollouts.applyOrders([{ service: "chat", order: makeOrder("v2") }], false);
        findRecord("i-9").suspectUntilMs = nowMs + 60_000;
        const explained = explain("path=/a/b&account=county&model=m&tried=i-7");
        const [service] = explained.services;
        assert.deepEqual(
            Object.fromEntries(service?.candidates.map(({ endpointId, filter }) => [endpointId, filter]) ?? []),
            {
                "i-0": undefined,
                "i-1": "model",
                "i-2": "outside_home_regions",
                "i-3": "evacuated",
                "i-4": "refusing",
                "i-5": "limited",
                "i-6": "cold",
                "i-7": "tried",
                "i-8": "version",
                "i-9": "unreachable",
            },
        );
        assert.deepEqual(service?.chosen, { endpointId: "i-0", chance: 1 });
        assert.deepEqual(service.rollout, { target: "v2", phase: "Trial" });
        assert.deepEqual(explained.evacuated, ["hobart-2"]);
        assert.deepEqual(explained.route?.homeRegions, ["hobart"]);
    });

    it("gives the estimate with its parts, and the endpoint that all nodes prefer for a prefix", async () => {
        await createNode([{}, {}, { failureDomain: "hobart-2" }]);
        const [service] = explain("path=/a/b&account=county&prefix=sys:4000,own:200&tokens=4200,100").services;
        const preferred = service?.candidates.filter(({ isPreferred }) => isPreferred) ?? [];
        assert.equal(preferred.length, 1);
        assert.equal(preferred[0]?.endpointId, service?.chosen?.endpointId);
        assert.ok((preferred[0]?.parts.prefixMs ?? 0) < 0);
        assert.equal(service?.candidates.find(({ endpointId }) => endpointId === "i-2")?.parts.distanceMs, 7);
    });

    // Guards against: an answer that grows with the fleet.
    it("gives at most 64 candidates in full, and counts the others", async () => {
        await createNode([]);
        const entries = Array.from({ length: 200 }, (_unused, index) => makeEndpoint(`e-${index}`));
        harness.directory.replaceAll(
            entries.map(endpoint => ({ id: endpoint.id, endpoint })),
            false,
        );
        harness.components.rollouts.recordVersions(entries, true);
        const [service] = explain("path=/a/b&account=county").services;
        assert.equal(service?.candidates.length, 64);
        assert.equal(service.omitted, 136);
        assert.deepEqual(service.counts, { open: 200 });
    });
});

function makeOrder(target: string) {
    return { service: "chat", target, durationMs: 60_000, revision: 1 };
}
