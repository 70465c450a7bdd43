import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { type ColdSimulation, type SimulatedNode, simulateColdShares } from "./_testing/simulateColdShares";

const SIZES = [3, 30, 195].flatMap(nodes => [3, 6].map(failureDomains => ({ nodes, failureDomains })));
const PER_SECOND = 9.9;
const FAULT_FROM_MS = 12_000;
const FAULT_TO_MS = 37_000;
const DURATION_MS = 60_000;
const isFaulty = (nowMs: number) => nowMs >= FAULT_FROM_MS && nowMs < FAULT_TO_MS;
/** Tells whether a node is in the smaller part of its failure domain, about a third of it. */
const isInPart = ({ index }: SimulatedNode) => index % 3 === 1;

/** What goes wrong in each case. */
const FAULTS: Readonly<Record<string, Partial<ColdSimulation>>> = {
    "nothing goes wrong": {},
    "a third of the lists is lost": { lostShare: 0.3 },
    "most lists are lost": { lostShare: 0.8 },
    "each failure domain is cut in two": {
        isConnected: (from, to, nowMs) => !isFaulty(nowMs) || isInPart(from) === isInPart(to),
    },
    "half of each domain hears one relay and half the other": {
        isConnected: (from, to, nowMs) => {
            const [relay, other] = from.index < to.index ? [from.index, to.index] : [to.index, from.index];
            return !isFaulty(nowMs) || relay > 1 || (relay === 0 && other === 1) || other % 2 === relay;
        },
        lostShare: 0.1,
    },
    "one relay hears some nodes that the other doesn't": {
        isConnected: (from, to, nowMs) => {
            const [low, high] = from.index < to.index ? [from.index, to.index] : [to.index, from.index];
            return !isFaulty(nowMs) || low !== 1 || high % 4 !== 3;
        },
    },
    "nodes hear nothing": { isConnected: (_from, _to, nowMs) => !isFaulty(nowMs) },
    "nodes never hear anything": { isConnected: () => false },
    "relays are lost": {
        isRunning: ({ index }, nowMs) => index > 1 || !isFaulty(nowMs),
        listRelays: (_domain, nowMs) => (isFaulty(nowMs) ? [2, 3] : [0, 1]),
    },
    "a third of the nodes is killed and comes back": {
        isRunning: (node, nowMs) => !isInPart(node) || !isFaulty(nowMs),
    },
    "nodes restart one after the other": {
        isRunning: ({ index }, nowMs) => Math.floor(nowMs / 3_000) % 40 !== index,
        lostShare: 0.2,
    },
    "half of the failure domains are away": {
        isRunning: ({ failureDomain }, nowMs) => Number(failureDomain.slice(2)) % 2 === 0 || !isFaulty(nowMs),
    },
};

// Guards against: nodes that together send a cold endpoint more than it survives.
describe("the requests that a cold endpoint gets in any second", () => {
    for (const [name, fault] of Object.entries(FAULTS)) {
        for (const size of SIZES) {
            it(`stay within the bound with ${size.nodes} nodes in ${size.failureDomains} domains: ${name}`, () => {
                const { secondMax, bound } = simulateColdShares({
                    ...size,
                    perSecond: PER_SECOND,
                    seed: 7,
                    durationMs: DURATION_MS,
                    ...fault,
                });
                assert.equal(bound, 19);
                assert.ok(secondMax <= bound, `${secondMax} of ${bound}`);
            });
        }
    }

    for (const perSecond of [0.1, 0.5, 1, 2.5, 7, 40, 300]) {
        for (const slack of [0, 1, 5]) {
            it(`stay within the bound for ${perSecond} a second and a slack of ${slack}`, () => {
                const { secondMax, bound } = simulateColdShares({
                    nodes: 30,
                    failureDomains: 6,
                    perSecond,
                    slack,
                    seed: 3,
                    durationMs: 30_000,
                    lostShare: 0.3,
                });
                assert.ok(secondMax <= bound, `${secondMax} of ${bound}`);
            });
        }
    }
});

// Guards against: a bound that is kept by sending nothing.
describe("the rate that cold endpoints get", () => {
    for (const size of SIZES.filter(({ nodes, failureDomains }) => nodes >= failureDomains)) {
        it(`is near what they tolerate with ${size.nodes} nodes in ${size.failureDomains} domains`, () => {
            const { lateRates } = simulateColdShares({ ...size, perSecond: PER_SECOND, seed: 7, durationMs: 40_000 });
            lateRates.forEach(rate => assert.ok(rate > 0.75 * PER_SECOND && rate <= PER_SECOND, `${rate}`));
        });
    }

    it("comes back after a cut", () => {
        const { lateRates } = simulateColdShares({
            nodes: 195,
            failureDomains: 6,
            perSecond: PER_SECOND,
            seed: 7,
            durationMs: 120_000,
            ...FAULTS["each failure domain is cut in two"],
        });
        lateRates.forEach(rate => assert.ok(rate > 0.75 * PER_SECOND, `${rate}`));
    });
});
