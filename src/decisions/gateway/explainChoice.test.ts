import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createRandom } from "../../base/createRandom";
import { chooseEndpoint, type EndpointView, estimateResponseMs, estimateEndpoints } from "./chooseEndpoint";
import { ChoiceRule, explainChoice } from "./explainChoice";
import { explainEstimate } from "./explainEstimate";

const SPEED = { tokensPerMs: 60, serviceMs: 20 };
const PROMPT = {
    promptTokens: 6_000,
    promptParts: [
        { id: "shared", tokens: 5_000 },
        { id: "own", tokens: 1_000 },
    ],
};
const NO_PROMPT = { promptTokens: 0, promptParts: [] };
const DRAWS = 20_000;

function makeView(id: string, changes: Partial<EndpointView> = {}): EndpointView {
    const idle = { roundTripMs: 0, distancePenaltyMs: 0, occupancy: 0, pendingTokens: 0, biasMs: 0, coldMs: 0 };
    return { id, ...idle, slots: 8, failureRate: 0, cachedTokens: 0, ...changes };
}

const CASES: Readonly<Record<string, readonly [ChoiceRule, readonly EndpointView[]]>> = {
    "no candidate": [ChoiceRule.Nothing, []],
    "one clearly best": [ChoiceRule.Only, [makeView("a"), makeView("b", { roundTripMs: 60 })]],
    "two within the tie range": [
        ChoiceRule.Tied,
        [makeView("a"), makeView("b", { biasMs: 3 }), makeView("c", { biasMs: 9 })],
    ],
    "two draws compared by pace": [
        ChoiceRule.TwoDrawnByWeight,
        [
            makeView("a", { pace: 100, othersInFlight: 1, occupancy: 1 }),
            makeView("b", { pace: 130, othersInFlight: 2, occupancy: 2 }),
            makeView("c", { pace: 130, othersInFlight: 1, occupancy: 1, slots: 4 }),
        ],
    ],
    "one draw among nearly full endpoints": [
        ChoiceRule.DrawnByWeight,
        [
            makeView("a", { pace: 100, othersInFlight: 7, occupancy: 7 }),
            makeView("b", { pace: 150, othersInFlight: 6, occupancy: 6 }),
        ],
    ],
};

describe("the explanation of a choice", () => {
    // Guards against: the explanation names a chance that the choice doesn't have.
    for (const [name, [rule, views]] of Object.entries(CASES)) {
        it(`gives the chances that the choice has: ${name}`, () => {
            const explained = explainChoice(views, NO_PROMPT, SPEED);
            assert.equal(explained.rule, rule);
            const random = createRandom(7);
            const counts = new Map<string | undefined, number>();
            for (let draw = 0; draw < DRAWS; draw++) {
                const id = chooseEndpoint(views, NO_PROMPT, SPEED, random);
                counts.set(id, (counts.get(id) ?? 0) + 1);
            }
            for (const { view, chance } of explained.endpoints) {
                const share = (counts.get(view.id) ?? 0) / DRAWS;
                assert.ok(Math.abs(share - chance) < 0.02, `${view.id}: ${share} instead of ${chance}`);
                assert.equal(chance === 0, share === 0, view.id);
            }
            assert.equal(counts.has(undefined), views.length === 0);
        });
    }

    // Guards against: a question that compares all endpoints of a service with each other holds the node's loop.
    it("looks at each endpoint a few times, also at 2,000 of different paces", () => {
        let reads = 0;
        const views = Array.from({ length: 2_000 }, (_unused, index) =>
            Object.defineProperty(makeView(`e-${index}`, { othersInFlight: 0 }), "pace", {
                get: () => {
                    reads++;
                    return 100 + index / 100;
                },
            }),
        );
        const { rule, endpoints } = explainChoice(views, NO_PROMPT, SPEED);
        assert.equal(rule, ChoiceRule.TwoDrawnByWeight);
        assert.ok(Math.abs(endpoints.reduce((sum, { chance }) => sum + chance, 0) - 1) < 1e-9);
        assert.ok(reads < 20 * views.length, `${reads} reads`);
    });
});

describe("the parts of an estimate", () => {
    const view = makeView("a", {
        pace: 180,
        cachedTokens: 2_000,
        occupancy: 9,
        pendingTokens: 700,
        roundTripMs: 2,
        distancePenaltyMs: 5,
        biasMs: 11,
        coldMs: 900,
        failureRate: 0.1,
    });

    // Guards against: a term of the estimate is in no part, or in two.
    it("add up to the estimate", () => {
        for (const isPreferred of [true, false]) {
            const parts = explainEstimate(view, PROMPT, SPEED, isPreferred);
            const sum = Object.values(parts).reduce((total, part) => total + part, 0);
            assert.ok(Math.abs(sum - estimateResponseMs(view, PROMPT, SPEED, isPreferred)) < 1e-6);
        }
    });

    it("name each cause by itself", () => {
        const parts = explainEstimate(view, PROMPT, SPEED, false);
        assert.equal(Math.round(parts.distanceMs), 7);
        assert.equal(Math.round(parts.biasMs), 11);
        assert.equal(Math.round(parts.coldMs), 400);
        assert.equal(Math.round(parts.failuresMs), 250);
        assert.ok(parts.prefixMs < 0 && parts.paceMs > 0 && parts.loadMs > 0);
        const [scored] = estimateEndpoints([makeView("a")], PROMPT, SPEED);
        assert.ok(scored?.isPreferred === true, "all nodes prefer the only endpoint");
        assert.ok(explainEstimate(makeView("a"), PROMPT, SPEED, true).prefixMs < 0);
    });
});
