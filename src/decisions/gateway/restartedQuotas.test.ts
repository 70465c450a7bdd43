import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { QUOTA_ACCOUNT, QUOTA_POLICY } from "./_testing/quotaFixture";
import { type QuotaSimulation, simulateQuotas } from "./_testing/simulateQuotas";

const BOUND = 850 * 1.1 + 45;

function simulateSeeds(simulation: Partial<QuotaSimulation> & { readonly nodes: number }, seeds: number) {
    const killed = Array.from({ length: simulation.nodes }, (_unused, index) => index);
    const fleet = {
        account: QUOTA_ACCOUNT,
        policy: QUOTA_POLICY,
        failureDomains: simulation.nodes > 10 ? 6 : 3,
        killed,
    };
    const results = Array.from({ length: seeds }, (_unused, seed) => simulateQuotas({ ...fleet, ...simulation, seed }));
    return {
        maximum: Math.max(...results.map(({ maximum }) => maximum)),
        refused: results.reduce((sum, { refused }) => sum + refused, 0) / seeds,
    };
}

describe("quotas after all nodes were killed at once, with records of the usage", () => {
    // Guards against usage before the kill that no process remembers: with it and after it the bound must hold together, also if a
    // flood began just before the kill, or its burst leaves the window just after it.
    for (const nodes of [7, 30]) {
        it(`are not exceeded at ${nodes} nodes, whenever the kill is`, () => {
            for (const killMs of [6_000, 7_000, 8_000, 9_000, 10_400, 14_000]) {
                for (const demand of [11, 1.5]) {
                    const simulation = { nodes, killMs, demand, hasRecords: true };
                    const { maximum } = simulateSeeds(simulation, nodes === 7 ? 6 : 2);
                    assert.ok(maximum <= BOUND, `${maximum} of ${BOUND}: killed at ${killMs}, demand ${demand}`);
                }
            }
        });
    }

    // Guards against accounts that stay within their quota and are refused, since the nodes that start know of nobody's usage.
    for (const demand of [0.5, 0.8]) {
        it(`refuse at most three quarters as much of a steady demand of ${demand} as without`, () => {
            const simulation = { nodes: 7, killMs: 14_000, demand };
            const without = simulateSeeds(simulation, 10).refused;
            const { refused } = simulateSeeds({ ...simulation, hasRecords: true }, 10);
            assert.ok(refused <= 0.75 * without, `${refused} refused, ${without} without records`);
        });
    }
});
