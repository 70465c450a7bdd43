import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createRandom } from "../../base/createRandom";
import { chooseEndpoint, type EndpointView } from "./chooseEndpoint";
import { filterServable } from "./filterServable";

const SPEED = { tokensPerMs: 60, serviceMs: 20 };

function makeCandidate(id: string, loadedModels: readonly string[] | undefined, changes: Partial<EndpointView> = {}) {
    const view: EndpointView = {
        id,
        roundTripMs: 0,
        distancePenaltyMs: 0,
        slots: 12,
        occupancy: 0,
        pendingTokens: 0,
        biasMs: 0,
        coldMs: 0,
        failureRate: 0,
        cachedTokens: 0,
        ...changes,
    };
    return { endpoint: { loadedModels }, view };
}

describe("many empty endpoints that are added at once", () => {
    const busy = { occupancy: 10, pendingTokens: 5_000 };
    const loaded = ["a", "b", "c"].map(id => makeCandidate(id, ["assistant"], busy));
    const empty = Array.from({ length: 20 }, (_unused, index) => makeCandidate(`new-${index}`, []));

    it("get no request for a model until they have loaded it, however idle they are", () => {
        const random = createRandom(3);
        for (let request = 0; request < 200; request++) {
            const servable = filterServable([...empty, ...loaded], "assistant");
            const views = servable.map(({ view }) => view);
            const chosen = chooseEndpoint(views, { promptTokens: 800, promptParts: [] }, SPEED, random);
            assert.ok(["a", "b", "c"].includes(chosen ?? ""), chosen);
        }
    });

    it("get requests once they have loaded the model, fewer while they are still slow", () => {
        const random = createRandom(3);
        const idle = makeCandidate("new", ["assistant"]);
        const cold = makeCandidate("cold", ["assistant"], { coldMs: 2_000 });
        const choose = (candidates: readonly { readonly view: EndpointView }[]) =>
            chooseEndpoint(
                candidates.map(({ view }) => view),
                { promptTokens: 800, promptParts: [] },
                SPEED,
                random,
            );
        assert.equal(choose([...loaded, idle]), "new");
        assert.equal(choose([idle, cold]), "new");
        assert.notEqual(choose([...loaded, cold]), "cold");
        const overloaded = loaded.map(({ view }) => ({ view: { ...view, pendingTokens: 60_000 } }));
        assert.equal(choose([...overloaded, cold]), "cold");
    });

    it("are no candidates for a model that nobody has loaded, so that the request is refused at once", () => {
        assert.deepEqual(filterServable([...empty, ...loaded], "another"), []);
    });

    it("don't keep requests without a model, or endpoints that name no models, from being served", () => {
        assert.equal(filterServable([...empty, ...loaded], undefined).length, 23);
        assert.equal(filterServable([makeCandidate("plain", undefined)], "assistant").length, 1);
    });
});
