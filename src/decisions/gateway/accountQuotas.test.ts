import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { QUOTA_ACCOUNT, QUOTA_POLICY } from "./_testing/quotaFixture";
import { createRandom } from "../../base/createRandom";
import { makeFleetUsage } from "./_testing/makeFleetUsage";
import { type QuotaSimulation, simulateQuotas } from "./_testing/simulateQuotas";
import { createAccountQuotas } from "./accountQuotas";

const QUOTA = 850;
const BOUND = QUOTA * 1.1 + 45;
const GRANTED_SHARE = 0.95;
const SEVEN = { account: QUOTA_ACCOUNT, policy: QUOTA_POLICY, nodes: 7, failureDomains: 3 };
const THIRTY = { ...SEVEN, nodes: 30, failureDomains: 6 };
/** Sizes from a thousandth to a twentieth of the quota, in turn. */
const MIXED_SIZES = [1_000, 1_000, 1_000, 1_000, 20, 250, 250, 1_000, 100];

/** Runs a simulation with several seeds; gives the least that was granted and the most that was admitted. */
function simulateSeeds(simulation: QuotaSimulation, seeds: number) {
    const results = Array.from({ length: seeds }, (_unused, seed) => simulateQuotas({ ...simulation, seed }));
    return {
        granted: Math.min(...results.map(({ perWindow }) => perWindow)),
        maximum: Math.max(...results.map(({ maximum }) => maximum)),
        refused: Math.max(...results.map(({ refused }) => refused)),
    };
}

describe("the quota of a flooding account", () => {
    // Guards against a pace that depends on where the demand is, or on one order of events.
    const flooded: Readonly<Record<string, { readonly simulation: QuotaSimulation; readonly seeds: number }>> = {
        "one node": { simulation: { ...SEVEN, nodes: 1, failureDomains: 1 }, seeds: 5 },
        "3 nodes": { simulation: { ...SEVEN, nodes: 3 }, seeds: 20 },
        "7 nodes": { simulation: SEVEN, seeds: 20 },
        "3 of 30 nodes with nine tenths of the demand": { simulation: { ...THIRTY, favored: 3 }, seeds: 4 },
        "30 nodes at one and a half times the quota": { simulation: { ...THIRTY, demand: 1.5 }, seeds: 4 },
        "7 nodes with requests of a thousandth of it": { simulation: { ...SEVEN, requestsPerLimit: 1_000 }, seeds: 4 },
    };
    for (const [name, { simulation, seeds }] of Object.entries(flooded)) {
        it(`is granted and never exceeded at ${name}`, () => {
            const { granted, maximum } = simulateSeeds(simulation, seeds);
            assert.ok(granted >= GRANTED_SHARE * QUOTA, `${granted} granted of ${QUOTA}`);
            assert.ok(maximum <= BOUND, `${maximum} admitted of ${BOUND}`);
        });
    }

    // Guards against many nodes that each grant one request before they know of each other's.
    const held: Readonly<Record<string, QuotaSimulation>> = {
        "requests of a twentieth of it at 7 nodes": { ...SEVEN, requestsPerLimit: 20 },
        "requests of a twentieth of it at 30 nodes": { ...THIRTY, requestsPerLimit: 20 },
        "requests of very different sizes": { ...SEVEN, requestSizes: MIXED_SIZES },
        "demand that moves to other nodes": { ...SEVEN, senders: 3, moveMs: 14_000 },
        "demand that moves between a few of 30 nodes": { ...THIRTY, senders: 5, moveMs: 14_000 },
        // Also guards against nodes that take a flood for usual since they know no earlier requests.
        "demand that moves to nodes which have just restarted": {
            ...THIRTY,
            senders: 15,
            moveMs: 14_000,
            killed: Array.from({ length: 15 }, (_unused, index) => 15 + index),
            killMs: 12_900,
        },
    };
    for (const [name, simulation] of Object.entries(held)) {
        it(`is never exceeded with ${name}`, () => {
            const { maximum } = simulateSeeds(simulation, 8);
            assert.ok(maximum <= BOUND, `${maximum} admitted of ${BOUND}`);
        });
    }

    // Guards against: small requests are refused so that large ones of the same account are admitted.
    it("is granted to small and large requests alike", () => {
        const random = createRandom(3);
        const quotas = createAccountQuotas(QUOTA_POLICY, undefined, random);
        const counts = { 1: { asked: 0, admitted: 0 }, 15: { asked: 0, admitted: 0 } };
        for (let nowMs = 0; nowMs < 60_000; nowMs += 20) {
            const amount = random.drawFraction() < 0.7 ? 1 : 15;
            const isAdmitted = quotas.charge(QUOTA_ACCOUNT, amount, makeFleetUsage(), nowMs);
            if (nowMs > 20_000) {
                counts[amount].asked++;
                counts[amount].admitted += Number(isAdmitted);
            }
        }
        const [small, large] = [counts[1], counts[15]].map(({ asked, admitted }) => admitted / asked);
        assert.ok(Math.abs((small ?? 0) - (large ?? 1)) < 0.1, `${small} of the small, ${large} of the large`);
    });

    it("is not refused while the account stays below it", () => {
        const { refused } = simulateSeeds({ ...THIRTY, demand: 0.8 }, 8);
        assert.equal(refused, 0);
    });
});

// Guards against: a request that waited and was refused takes its refund out of the window later than its charge.
describe("the refund of a request that waited", () => {
    it("doesn't raise the quota when the charge has left the window", () => {
        const quotas = createAccountQuotas(QUOTA_POLICY, undefined, createRandom(1));
        const fleet = makeFleetUsage();
        assert.ok(quotas.charge(QUOTA_ACCOUNT, 900, fleet, 1_000));
        assert.ok(!quotas.charge(QUOTA_ACCOUNT, 900, fleet, 1_500));
        quotas.refund(QUOTA_ACCOUNT.name, 900, 1_000);
        assert.ok(quotas.charge(QUOTA_ACCOUNT, 900, fleet, 2_300));
        assert.ok(!quotas.charge(QUOTA_ACCOUNT, 400, fleet, 9_500));
    });
});
