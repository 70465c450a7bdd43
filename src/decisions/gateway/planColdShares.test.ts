import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { listSendingDomains, planColdShares } from "./planColdShares";

const makeDomains = (count: number) => Array.from({ length: count }, (_unused, index) => `z-${index}`);
const plan = (perSecond: number, domains: number, slack = 5) =>
    planColdShares({ perSecond, overrun: 1.5, slack, failureDomains: makeDomains(domains) });

describe("the plan of the shares of a cold endpoint", () => {
    it("uses as many failure domains as give nearly the highest rate", () => {
        assert.deepEqual(plan(9.9, 6), { senders: 4, perWindow: 2, windowMs: 1_000 });
        assert.deepEqual(plan(9.9, 3), { senders: 3, perWindow: 3, windowMs: 1_000 });
        assert.deepEqual(plan(9.9, 1), { senders: 1, perWindow: 9, windowMs: 1_000 });
    });

    // Guards against: shares that exceed the bound, or in the long run the rate that the endpoint tolerates.
    it("keeps the bound with two senders in each failure domain, and the rate with one", () => {
        for (const perSecond of [0.1, 0.5, 1, 2, 3.3, 9.9, 25, 100, 1_000]) {
            for (const slack of [0, 1, 5, 50]) {
                for (const domains of [1, 2, 3, 6, 15]) {
                    const { senders, perWindow, windowMs } = plan(perSecond, domains, slack);
                    const bound = Math.floor(perSecond * 1.5 + slack);
                    const worst = senders * perWindow * (bound === 1 ? 1 : 2);
                    assert.ok(worst <= bound, `${perSecond} ${slack} ${domains}: ${worst} of ${bound}`);
                    const rate = (senders * perWindow * 1_000) / windowMs;
                    assert.ok(rate <= perSecond + 1e-9, `${rate} of ${perSecond}`);
                    assert.ok(windowMs >= 1_000);
                }
            }
        }
    });

    it("sends nothing if the bound is below one request, or without failure domains", () => {
        assert.equal(plan(0.5, 6, 0).perWindow, 0);
        assert.equal(plan(9.9, 0).perWindow, 0);
    });

    it("spreads endpoints evenly over the failure domains", () => {
        const counts = new Map<string, number>();
        for (let id = 0; id < 1_200; id++) {
            const sending = listSendingDomains(`i-${id}`, makeDomains(6), 3);
            assert.equal(new Set(sending).size, 3);
            sending.forEach(domain => counts.set(domain, (counts.get(domain) ?? 0) + 1));
        }
        counts.forEach(count => assert.ok(count > 500 && count < 700, `${count}`));
    });
});
