import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createRandom } from "../../base/createRandom";
import { chooseEndpoint, type EndpointView } from "./chooseEndpoint";

const SPEED = { tokensPerMs: 60, serviceMs: 20 };
const PARTS = [
    { id: "shared", tokens: 5_000 },
    { id: "own", tokens: 1_000 },
];
const PLAIN = { promptTokens: 0, promptParts: [] };

function makeView(id: string, changes: Partial<EndpointView> = {}): EndpointView {
    return {
        id,
        roundTripMs: 0,
        distancePenaltyMs: 0,
        slots: 8,
        occupancy: 0,
        pendingTokens: 0,
        biasMs: 0,
        failureRate: 0,
        cachedTokens: 0,
        ...changes,
    };
}

describe("the choice of an endpoint", () => {
    it("is none without candidates", () => {
        assert.equal(chooseEndpoint([], PLAIN, SPEED, createRandom(1)), undefined);
    });

    it("prefers the near one, until it is behind in its work", () => {
        const far = makeView("far", { roundTripMs: 60 });
        assert.equal(chooseEndpoint([makeView("near"), far], PLAIN, SPEED, createRandom(1)), "near");
        const busy = makeView("near", { pendingTokens: 12_000 });
        assert.equal(chooseEndpoint([busy, far], PLAIN, SPEED, createRandom(1)), "far");
    });

    it("avoids one that fails, and one that is full", () => {
        const failing = makeView("failing", { failureRate: 0.3 });
        const full = makeView("full", { occupancy: 12 });
        assert.equal(chooseEndpoint([failing, full, makeView("good")], PLAIN, SPEED, createRandom(1)), "good");
    });

    it("goes where the prompt's beginning is cached", () => {
        const views = [makeView("a"), makeView("b", { cachedTokens: 5_000 }), makeView("c")];
        assert.equal(chooseEndpoint(views, { promptTokens: 6_000, promptParts: PARTS }, SPEED, createRandom(1)), "b");
    });

    it("waits there for about twice the time that reading the beginning again would take, and no longer", () => {
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

    it("places shared parts at the same endpoint from every node", () => {
        const views = ["a", "b", "c", "d"].map(id => makeView(id));
        const choices = Array.from({ length: 20 }, (_, seed) =>
            chooseEndpoint(views, { promptTokens: 6_000, promptParts: PARTS }, SPEED, createRandom(seed)),
        );
        assert.equal(new Set(choices).size, 1);
    });

    it("spreads requests over equal endpoints", () => {
        const random = createRandom(1);
        const choices = Array.from({ length: 60 }, () =>
            chooseEndpoint([makeView("a"), makeView("b")], PLAIN, SPEED, random),
        );
        assert.ok(choices.filter(id => id === "a").length > 15);
        assert.ok(choices.filter(id => id === "b").length > 15);
    });
});
