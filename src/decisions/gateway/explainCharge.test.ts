import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { QUOTA_ACCOUNT, QUOTA_POLICY } from "./_testing/quotaFixture";
import { createRandom } from "../../base/createRandom";
import type { Random } from "../../base/random";
import { createAccountQuotas } from "./accountQuotas";
import { makeFleetUsage } from "./_testing/makeFleetUsage";

const FLEET = makeFleetUsage();

/** Counts the draws of a stream. */
function createCountedRandom(seed: number): Random & { countDraws(): number } {
    const random = createRandom(seed);
    let draws = 0;
    return {
        drawFraction: () => {
            draws++;
            return random.drawFraction();
        },
        drawInteger: random.drawInteger,
        countDraws: () => draws,
    };
}

describe("the explanation of a charge", () => {
    // Guards against: asking charges the quota, counts as demand, or uses up the random number of a later request.
    it("agrees with the charge after it, and changes nothing, over 60 s of a flood with partitions", () => {
        const explained = createCountedRandom(3);
        const plain = createRandom(3);
        const asked = createAccountQuotas(QUOTA_POLICY, undefined, explained);
        const unasked = createAccountQuotas(QUOTA_POLICY, undefined, plain);
        let admitted = 0;
        let refused = 0;
        let byChance = 0;
        for (let nowMs = 0; nowMs < 60_000; nowMs += 40) {
            const isCutOff = nowMs % 20_000 > 17_000;
            const fleet = isCutOff ? makeFleetUsage({ nodes: 4, reachable: 1 }) : FLEET;
            const amount = 3 + (nowMs % 7);
            const before = explained.countDraws();
            const explanation = asked.explainCharge(QUOTA_ACCOUNT, amount, fleet, nowMs);
            asked.explainCharge(QUOTA_ACCOUNT, 5_000, fleet, nowMs);
            asked.explainCharge({ ...QUOTA_ACCOUNT, name: "other" }, amount, fleet, nowMs);
            assert.equal(explained.countDraws(), before);
            const isCharged = asked.charge(QUOTA_ACCOUNT, amount, fleet, nowMs);
            assert.equal(isCharged, unasked.charge(QUOTA_ACCOUNT, amount, fleet, nowMs), `at ${nowMs} ms`);
            if (!explanation.isByChance) {
                assert.equal(explanation.isAdmitted, isCharged, `at ${nowMs} ms`);
            }
            assert.deepEqual(asked.describeUsage(nowMs), unasked.describeUsage(nowMs));
            byChance += explanation.isByChance ? 1 : 0;
            admitted += isCharged ? 1 : 0;
            refused += isCharged ? 0 : 1;
        }
        assert.ok(admitted > 200 && refused > 200, `${admitted} admitted, ${refused} refused`);
        assert.equal(byChance, 1);
    });

    it("gives the quota, the bound and what is used", () => {
        const quotas = createAccountQuotas(QUOTA_POLICY, undefined, createRandom(1));
        assert.ok(quotas.charge(QUOTA_ACCOUNT, 30, FLEET, 1_000));
        const { quota, limit, used, isAdmitted } = quotas.explainCharge(QUOTA_ACCOUNT, 10, FLEET, 1_000);
        assert.deepEqual({ quota, used, isAdmitted }, { quota: 850, used: 30, isAdmitted: true });
        assert.ok(limit > quota && limit < 980);
        assert.equal(quotas.explainCharge(QUOTA_ACCOUNT, 1_000, FLEET, 1_000).isAdmitted, false);
    });

    // Guards against: a request that is refused for certain counts as one on which chance decides.
    it("names no chance where nothing is granted", () => {
        const usage = { county: { used: 930, recent: 10, asked: 200 } };
        const fleet = makeFleetUsage({ usage, countsForMs: QUOTA_POLICY.quotaWindowMs });
        const quotas = createAccountQuotas(QUOTA_POLICY, undefined, createRandom(1));
        const { isAdmitted, isByChance } = quotas.explainCharge(QUOTA_ACCOUNT, 1, fleet, 1_000);
        assert.deepEqual({ isAdmitted, isByChance }, { isAdmitted: false, isByChance: false });
        for (let seed = 0; seed < 50; seed++) {
            const drawn = createAccountQuotas(QUOTA_POLICY, undefined, createRandom(seed));
            assert.equal(drawn.charge(QUOTA_ACCOUNT, 1, fleet, 1_000), false);
        }
    });
});
