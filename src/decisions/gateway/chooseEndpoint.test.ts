import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createRandom } from "../../base/createRandom";
import { chooseEndpoint, estimateFirstPartMs, type EndpointView } from "./chooseEndpoint";

const SPEED = { tokensPerMs: 60, serviceMs: 20 };
const PARTS = [
    { id: "shared", tokens: 5_000 },
    { id: "own", tokens: 1_000 },
];
const NO_PROMPT = { promptTokens: 0, promptParts: [] };

function makeView(id: string, changes: Partial<EndpointView> = {}): EndpointView {
    return {
        id,
        roundTripMs: 0,
        distancePenaltyMs: 0,
        slots: 8,
        occupancy: 0,
        pendingTokens: 0,
        biasMs: 0,
        coldMs: 0,
        failureRate: 0,
        cachedTokens: 0,
        ...changes,
    };
}

describe("the choice of an endpoint", () => {
    it("is undefined without candidates", () => {
        assert.equal(chooseEndpoint([], NO_PROMPT, SPEED, createRandom(1)), undefined);
    });

    it("prefers the near endpoint until it has too many pending tokens", () => {
        const far = makeView("far", { roundTripMs: 60 });
        assert.equal(chooseEndpoint([makeView("near"), far], NO_PROMPT, SPEED, createRandom(1)), "near");
        const busy = makeView("near", { pendingTokens: 12_000 });
        assert.equal(chooseEndpoint([busy, far], NO_PROMPT, SPEED, createRandom(1)), "far");
    });

    it("avoids endpoints that fail or are full", () => {
        const failing = makeView("failing", { failureRate: 0.3 });
        const full = makeView("full", { occupancy: 12 });
        assert.equal(chooseEndpoint([failing, full, makeView("good")], NO_PROMPT, SPEED, createRandom(1)), "good");
    });

    it("prefers the endpoint that has the prompt's prefix cached", () => {
        const views = [makeView("a"), makeView("b", { cachedTokens: 5_000 }), makeView("c")];
        assert.equal(chooseEndpoint(views, { promptTokens: 6_000, promptParts: PARTS }, SPEED, createRandom(1)), "b");
    });

    it("accepts a queue at the caching endpoint of up to about twice the time of a repeated prefill", () => {
        const choose = (pendingTokens: number) => {
            const cached = makeView("cached", { cachedTokens: 5_000, pendingTokens });
            return chooseEndpoint(
                [makeView("idle"), cached],
                {
                    promptTokens: 6_000,
                    promptParts: [...PARTS.slice(0, 1), { id: "unplaced", tokens: 0 }, ...PARTS.slice(1)],
                },
                SPEED,
                createRandom(1),
            );
        };
        assert.equal(choose(10_000), "cached");
        assert.equal(choose(40_000), "idle");
    });

    it("places prompts with the same shared parts at one endpoint, whatever the node's random numbers", () => {
        const views = ["a", "b", "c", "d"].map(id => makeView(id));
        const choices = Array.from({ length: 20 }, (_, seed) =>
            chooseEndpoint(views, { promptTokens: 6_000, promptParts: PARTS }, SPEED, createRandom(seed)),
        );
        assert.equal(new Set(choices).size, 1);
    });

    it("counts all work at an endpoint at its pace, and the round trip not", () => {
        const view = makeView("a", { roundTripMs: 10, occupancy: 12, pendingTokens: 600 });
        const usualMs = estimateFirstPartMs(view, NO_PROMPT, SPEED) - 10;
        assert.equal(estimateFirstPartMs({ ...view, pace: 200 }, NO_PROMPT, SPEED), 10 + 2 * usualMs);
        assert.equal(estimateFirstPartMs({ ...view, pace: 100 }, NO_PROMPT, SPEED), 10 + usualMs);
    });

    it("gives an endpoint with a high pace fewer requests, and keeps the cached prefix before an equal pace", () => {
        const random = createRandom(1);
        const paced = ["a", "b"].map(id => makeView(id, { pace: 100, othersInFlight: 4 }));
        const views = [...paced, makeView("slow", { pace: 400, othersInFlight: 4 })];
        const choices = Array.from({ length: 300 }, () => chooseEndpoint(views, NO_PROMPT, SPEED, random));
        assert.ok(choices.filter(id => id === "slow").length < 30);
        assert.ok(choices.filter(id => id === "a").length > 100);
        const caching = [...paced, makeView("caching", { pace: 100, othersInFlight: 4, cachedTokens: 5_000 })];
        assert.equal(chooseEndpoint(caching, { promptTokens: 6_000, promptParts: PARTS }, SPEED, random), "caching");
    });

    it("spreads requests over equally good endpoints", () => {
        const random = createRandom(1);
        const choices = Array.from({ length: 60 }, () =>
            chooseEndpoint([makeView("a"), makeView("b")], NO_PROMPT, SPEED, random),
        );
        assert.ok(choices.filter(id => id === "a").length > 15);
        assert.ok(choices.filter(id => id === "b").length > 15);
    });
});
