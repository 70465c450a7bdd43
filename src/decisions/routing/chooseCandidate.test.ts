import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { createRandom } from "../../base/createRandom";
import { MoveState, ServiceKind, type VersionMove } from "../../model/configuration";
import { type Endpoint, VmRole } from "../../model/endpoint";
import type { Candidate } from "./candidate";
import { chooseCandidate, type ChoiceQuery } from "./chooseCandidate";
import { chooseVersion } from "./chooseVersion";
import { createCandidate } from "./createCandidate";
import { createPrefixIndex } from "./createPrefixIndex";
import { findCostAtTarget } from "./findCostAtTarget";
import { recordAttemptEnded } from "./recordAttemptEnded";
import { recordPrefixes } from "./recordPrefixes";
import { recordAttemptSent } from "./recordAttemptSent";

const NODE_PLACEMENT = { region: "hobart", failureDomain: "hobart-a" };

function createEndpoint(endpointId: string, change: Partial<Endpoint> = {}): Endpoint {
    const place = { ...NODE_PLACEMENT, address: "127.0.0.1", port: 1 };
    const kind = { role: VmRole.ModelRunner as const, machineClass: "m", isReclaimable: true };
    return { endpointId, ...place, ...kind, serviceName: "news", version: "v1", ...change };
}

function createMany(count: number, change: (index: number) => Partial<Endpoint> = () => ({})): Candidate[] {
    return Array.from({ length: count }, (_, index) =>
        createCandidate(createEndpoint(`e${index}`, change(index)), 1, NODE_PLACEMENT),
    );
}

function createQuery(change: Partial<ChoiceQuery> = {}): ChoiceQuery {
    const limits = { targetMs: 1_200, remainingMs: 1_200, costCeilingMicros: 1_000 };
    const size = { promptTokens: 640, prefixHashes: [], excludedEndpointIds: [] };
    return { version: "v1", route: "chat", ...size, ...limits, ...change };
}

function choose(candidates: readonly Candidate[], change: Partial<ChoiceQuery> = {}, index = createPrefixIndex()) {
    return chooseCandidate(candidates, createQuery(change), index, [0, 0])?.candidate.endpoint.endpointId;
}

describe("chooseCandidate", () => {
    const cases: { name: string; change: (candidate: Candidate) => void }[] = [
        { name: "is leaving", change: candidate => (candidate.isLeaving = true) },
        {
            name: "serves another version",
            change: candidate => (candidate.endpoint = createEndpoint("e0", { version: "v2" })),
        },
        { name: "costs more than the ceiling", change: candidate => (candidate.costMicros = 1_001) },
        { name: "is removed", change: candidate => (candidate.outcomes.removedUntilMs = 5) },
        { name: "has a longer queue", change: candidate => (candidate.othersPrefillTokens = 5_000) },
        { name: "has no free slot", change: candidate => (candidate.othersInFlight = 40) },
        { name: "has responded later than estimated", change: candidate => (candidate.biasMs = 200) },
        { name: "costs much more", change: candidate => (candidate.costMicros = 900) },
    ];
    for (const { name, change } of cases) {
        it(`avoids an endpoint that ${name}`, () => {
            const candidates = createMany(2);
            assert.equal(choose(candidates), "e0");
            change(candidates[0] as Candidate);
            assert.equal(choose(candidates), "e1");
        });
    }

    it("avoids excluded endpoints and returns undefined if all are excluded", () => {
        assert.equal(choose(createMany(2), { excludedEndpointIds: ["e0"] }), "e1");
        assert.equal(choose(createMany(2), { excludedEndpointIds: ["e0", "e1"] }), undefined);
    });

    it("uses another region only if the local endpoint would miss the target", () => {
        const candidates = createMany(2, index => (index === 0 ? { region: "burnie" } : {}));
        const local = candidates[1] as Candidate;
        local.othersPrefillTokens = 1_000;
        assert.equal(choose(candidates), "e1");
        local.othersPrefillTokens = 6_000;
        assert.equal(choose(candidates), "e0");
    });

    it("prefers an endpoint with the prompt's prefix in its cache, unless its queue takes longer", () => {
        const candidates = createMany(2);
        const index = createPrefixIndex();
        recordPrefixes(index, candidates[1] as Candidate, ["p1", "p2", "p3"]);
        const change = { prefixHashes: ["p1", "p2", "p3", "p4"] };
        assert.equal(choose(candidates, change, index), "e1");
        (candidates[1] as Candidate).ownPrefillTokens = 1_000;
        assert.equal(choose(candidates, change, index), "e0");
    });

    it("prefers the same endpoint for an unknown prefix on every node, until that endpoint is loaded", () => {
        const change = { prefixHashes: ["new"] };
        const preferredIds = [createMany(8), createMany(8).reverse()].map(candidates => choose(candidates, change));
        assert.equal(preferredIds[0], preferredIds[1]);
        const candidates = createMany(8);
        const preferred = candidates.find(candidate => candidate.endpoint.endpointId === preferredIds[0]) as Candidate;
        preferred.othersInFlight = 10;
        const spread = new Set(
            [0, 0.2, 0.4, 0.6, 0.8].map(
                fraction =>
                    chooseCandidate(candidates, createQuery(change), createPrefixIndex(), [0, fraction])?.candidate,
            ),
        );
        assert.ok(spread.size > 1);
    });

    it("spreads equal choices over all endpoints", () => {
        const candidates = createMany(64);
        const random = createRandom(4);
        const counts = new Map<string, number>();
        for (let draw = 0; draw < 6_400; draw++) {
            const fractions = [random.drawFraction(), random.drawFraction()] as const;
            const choice = chooseCandidate(candidates, createQuery(), createPrefixIndex(), fractions);
            const id = choice?.candidate.endpoint.endpointId ?? "none";
            counts.set(id, (counts.get(id) ?? 0) + 1);
        }
        assert.equal(counts.size, 64);
        assert.ok(Math.max(...counts.values()) < 170, "100 each on average");
    });

    it("never chooses a leaving, removed, too expensive or excluded endpoint, and conserves counts", () => {
        const endpointArbitrary = fc.record({
            isLeaving: fc.boolean(),
            isRemoved: fc.boolean(),
            cost: fc.integer({ min: 0, max: 2_000 }),
            load: fc.integer({ min: 0, max: 100 }),
            version: fc.constantFrom("v1", "v2"),
        });
        const fraction = fc.double({ min: 0, max: 0.999, noNaN: true });
        fc.assert(
            fc.property(
                fc.array(endpointArbitrary, { maxLength: 80 }),
                fraction,
                fraction,
                fc.nat(79),
                (all, first, second, excluded) => {
                    const candidates = createMany(all.length, index => ({ version: all[index]?.version }));
                    all.forEach((properties, index) => {
                        const candidate = candidates[index] as Candidate;
                        candidate.isLeaving = properties.isLeaving;
                        candidate.outcomes.removedUntilMs = properties.isRemoved ? 1 : -Infinity;
                        candidate.costMicros = properties.cost;
                        candidate.othersInFlight = properties.load;
                    });
                    const query = createQuery({ excludedEndpointIds: [`e${excluded}`] });
                    const choice = chooseCandidate(candidates, query, createPrefixIndex(), [first, second]);
                    const allowed = all.filter(
                        (properties, index) =>
                            !properties.isLeaving &&
                            !properties.isRemoved &&
                            properties.cost <= 1_000 &&
                            properties.version === "v1" &&
                            index !== excluded,
                    );
                    assert.equal(choice === undefined, allowed.length === 0);
                    if (choice !== undefined) {
                        const properties = all[candidates.indexOf(choice.candidate)];
                        assert.ok(properties !== undefined && allowed.includes(properties));
                        recordAttemptSent(choice.candidate, choice.uncachedTokens);
                        recordAttemptEnded(choice.candidate, { prefillTokens: choice.uncachedTokens });
                    }
                    candidates.forEach(({ ownInFlight, ownPrefillTokens }) =>
                        assert.equal(ownInFlight + ownPrefillTokens, 0),
                    );
                },
            ),
            { seed: 4, numRuns: 400 },
        );
    });
});

describe("chooseVersion", () => {
    const service = { name: "news", kind: ServiceKind.Model, version: "v1" };
    const move: VersionMove = {
        name: "m",
        serviceName: "news",
        fromVersion: "v1",
        toVersion: "v2",
        doneByWallMs: 0,
        state: MoveState.Moving,
        share: 0.2,
        reason: "",
    };
    const cases = [
        { name: "without a move", move: undefined, braked: "", version: "v1", attempt: 1 },
        { name: "when the share is 1", move: { ...move, share: 1 }, braked: "", version: "v2", attempt: 1 },
        { name: "when the share is 0", move: { ...move, share: 0 }, braked: "", version: "v1", attempt: 1 },
        {
            name: "when the new version is braked",
            move: { ...move, share: 1 },
            braked: "v2",
            version: "v1",
            attempt: 1,
        },
        {
            name: "after the move has been taken back",
            move: { ...move, state: MoveState.TakenBack },
            braked: "",
            version: "v1",
            attempt: 1,
        },
        {
            name: "after the move is done",
            move: { ...move, state: MoveState.Done },
            braked: "",
            version: "v2",
            attempt: 1,
        },
        { name: "for a second attempt", move: { ...move, share: 0.999 }, braked: "", version: "v1", attempt: 2 },
    ];
    for (const { name, move: given, braked, version, attempt } of cases) {
        it(`returns ${version} ${name}`, () => {
            const request = { requestId: "r1", attempt };
            assert.equal(
                chooseVersion(service, given, request, other => other === braked),
                version,
            );
        });
    }

    it("gives the new version its share of requests", () => {
        const versions = Array.from({ length: 10_000 }, (_, index) =>
            chooseVersion(service, move, { requestId: `r${index}`, attempt: 1 }, () => false),
        );
        const share = versions.filter(version => version === "v2").length / versions.length;
        assert.ok(Math.abs(share - 0.2) < 0.02, String(share));
    });
});

describe("findCostAtTarget", () => {
    it("returns the cost of the cheapest endpoint that meets the target when idle", () => {
        const candidates = createMany(3, index => (index === 0 ? { region: "burnie" } : {}));
        candidates.forEach((candidate, index) => (candidate.costMicros = 100 + index));
        assert.equal(findCostAtTarget(candidates, 500, 1_200), 100);
        assert.equal(findCostAtTarget(candidates, 500, 110), 101);
        assert.equal(findCostAtTarget(candidates, 500, 50), undefined);
    });
});
