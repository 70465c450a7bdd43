import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { createRandom } from "../../base/createRandom";
import { computeCanaryAllowance } from "./computeCanaryAllowance";
import { planRollout } from "./planRollout";

const BOUNDS = { exposureShare: 0.1, exposureSlack: 50 };
const DURATION_MS = 15_000;

interface SimulatedNode {
    startedAtMs: number;
    requests: number;
    canaries: number;
}

describe("the allowance of a trial", () => {
    // Guards against: the nodes together send more to a bad version than the bound, whatever happens to them (EXPOSURE).
    it("stays within the bound with the shift, over random fleets that are killed and restarted", () => {
        const fleet = fc.record({
            seed: fc.integer({ min: 1, max: 1_000_000 }),
            nodes: fc.integer({ min: 1, max: 195 }),
            requestsPerSecond: fc.integer({ min: 1, max: 1_000 }),
            killsPerSecond: fc.double({ min: 0, max: 2, noNaN: true }),
            durationMs: fc.integer({ min: 10_000, max: 60_000 }),
        });
        fc.assert(
            fc.property(fleet, ({ seed, nodes, requestsPerSecond, killsPerSecond, durationMs }) => {
                const random = createRandom(seed);
                const states = Array.from({ length: nodes }, (): SimulatedNode => {
                    return { startedAtMs: 0, requests: 0, canaries: 0 };
                });
                let [requests, canaries] = [0, 0];
                const periodMs = 1_000 / requestsPerSecond;
                for (let nowMs = 0; nowMs < durationMs; nowMs += periodMs) {
                    const node = states[random.drawInteger(0, nodes - 1)];
                    assert.ok(node !== undefined);
                    if (random.drawFraction() < (killsPerSecond * periodMs) / 1_000) {
                        Object.assign(node, { startedAtMs: nowMs, requests: 0, canaries: 0 });
                    }
                    requests++;
                    node.requests++;
                    const knownShare = (nowMs - node.startedAtMs) / durationMs;
                    const allowance = computeCanaryAllowance(BOUNDS, { requests: node.requests, nodes, knownShare });
                    const isShifted = nowMs >= planRollout(durationMs).shiftMs;
                    if (isShifted || node.canaries + 1 <= allowance) {
                        node.canaries++;
                        canaries++;
                    }
                }
                const allowed = BOUNDS.exposureShare * requests + BOUNDS.exposureSlack;
                assert.ok(canaries <= allowed, `${canaries} of ${requests}, allowed ${allowed}`);
            }),
            { numRuns: 60 },
        );
    });

    it("is enough for a comparison within a short order at moderate traffic", () => {
        const allowance = computeCanaryAllowance(BOUNDS, { requests: 540, nodes: 1, knownShare: 1 });
        assert.ok(allowance >= 30, `${allowance} within ${DURATION_MS} ms`);
    });

    it("grants nothing to a node that has just learnt of the order", () => {
        assert.equal(computeCanaryAllowance(BOUNDS, { requests: 0, nodes: 9, knownShare: 0 }), 0);
    });
});
