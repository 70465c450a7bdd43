import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createRandom } from "../../base/createRandom";
import type { GatewayAccount } from "../../model/gateway";
import { makeFleetUsage } from "./_testing/makeFleetUsage";
import { createAccountQuotas } from "./accountQuotas";
import { decideFormerCharge, type FormerChargeInput } from "./decideFormerCharge";

/** 3 s after the restart of ten nodes, of which all are in reach; 100 a second leave, and 90 a second are asked for. */
const INPUT: FormerChargeInput = {
    left: { amount: 300, perMs: 0.1 },
    limit: 1_000,
    windowMs: 8_000,
    countsForMs: 3_000,
    amount: 5,
    nodes: 10,
    inTouchMs: 2_000,
    reachableShare: 1,
    isCounted: true,
    own: 20,
    ownUnreported: 4,
    firstPart: 0.5,
    known: 200,
    ownAsked: 5,
    asked: 45,
    recentRate: 0.09,
};

describe("what a node charges by the usage that has left since a restart of all nodes", () => {
    it("is all of a demand below it, and the same share of a flood at every node", () => {
        assert.ok(decideFormerCharge(INPUT).admittedShare >= 1);
        const { admittedShare } = decideFormerCharge({ ...INPUT, asked: 500, ownAsked: 50 });
        assert.ok(admittedShare > 0.09 && admittedShare <= 0.15, `${admittedShare}`);
    });

    // Guards against nodes that each take the whole, since they have not heard of each other's usage.
    it("is an equal part while the others' reports may be on their way, and nothing if the others don't count this node", () => {
        const early = { ...INPUT, inTouchMs: 500, known: 0, recentRate: 0 };
        assert.equal(decideFormerCharge({ ...early, own: 27 }).admittedShare, 1);
        assert.equal(decideFormerCharge({ ...early, own: 28 }).admittedShare, 0);
        assert.equal(decideFormerCharge({ ...early, own: 0, isCounted: false }).admittedShare, 0);
    });

    it("shrinks with the share of the nodes in reach, and with what others have charged", () => {
        for (const change of [{ reachableShare: 0.7 }, { reachableShare: 0 }, { known: 290 }, { recentRate: 0.3 }]) {
            assert.ok(!(decideFormerCharge({ ...INPUT, ...change }).admittedShare > 0), JSON.stringify(change));
        }
    });

    // Guards against a burst of the usage before the restart that is granted as a burst, faster than reports can tell of it.
    it("doesn't follow a burst that leaves", () => {
        const burst = { ...INPUT, left: { amount: 1_000, perMs: 2 }, asked: 5_000 };
        const { admittedShare } = decideFormerCharge(burst);
        assert.ok((admittedShare * 5_000) / 500 <= (1.5 * 1.25 * 1_000) / 8_000);
        assert.equal(decideFormerCharge({ ...burst, known: 468 }).admittedShare, 0);
    });

    // Guards against refusals that all come back after the same second.
    it("names the time until as much has left as a refused request needs", () => {
        assert.equal(Math.round(decideFormerCharge({ ...INPUT, known: 290 }).retryMs), 310);
        const flooded = decideFormerCharge({ ...INPUT, asked: 500, ownAsked: 50 }).retryMs;
        assert.ok(flooded > 1_000, `${flooded}`);
    });
});

describe("quotas after a restart of all nodes", () => {
    const account: GatewayAccount = {
        name: "county",
        keys: ["k"],
        priority: undefined,
        quotaPerSecond: 100,
        quotaBurst: 0,
        countsTokens: false,
        defaultTokens: 1,
    };
    const policy = { quotaWindowMs: 8_000, quotaOverrun: 0.1, quotaSlack: 0 };
    const record = Array.from({ length: 16 }, (_, index) => ({ ageMs: 500 * (15 - index), usage: { county: 45 } }));

    // Guards against refusals that all come back after the same second, and late.
    it("say with a refusal when to come back, with and without a record, until the window is over", () => {
        const quotas = createAccountQuotas(policy, 0, createRandom(1));
        const refuse = (amount: number, nowMs: number) => {
            while (quotas.charge(account, amount, makeFleetUsage(), nowMs)) {
                // Until the quota is used up.
            }
            return quotas.estimateRetryMs("county") ?? Number.NaN;
        };
        const withoutMs = refuse(10, 1_000);
        assert.ok(withoutMs >= 100 && withoutMs < 1_000, `${withoutMs}`);
        quotas.recordFormerUsage({ record, atMs: -500 });
        const withMs = refuse(10, 1_000);
        assert.ok(withMs >= 100 && withMs < 1_000, `${withMs}`);
        assert.ok(Number.isNaN(refuse(10, 9_000)));
    });

    // Guards against large fleets, whose nodes get few requests of an account: a node that takes its first request for the
    // moment at which it hears the others admits less than one of them.
    it("admit the first request of a node that has long heard the others", () => {
        const fleet = makeFleetUsage({ nodes: 72, reachable: 72, countsForMs: 3_000 });
        const quotas = createAccountQuotas(policy, 0, createRandom(1));
        quotas.recordFormerUsage({ record, atMs: -500 });
        const reported = { county: { used: 100, recent: 25, asked: 45 } };
        for (let nowMs = 500; nowMs < 3_000; nowMs += 250) {
            quotas.describeUsage(nowMs, fleet);
        }
        assert.ok(quotas.charge(account, 10, { ...fleet, usage: reported }, 3_000));
    });
});
