import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import type { GatewayAccount } from "../../model/gateway";
import { createAccountQuotas, type PeerReport, type QuotaPolicy } from "./accountQuotas";
import { createServiceRetryBudget } from "./serviceRetryBudget";
import { createSlidingWindowCounter } from "./slidingWindowCounter";

const ACCOUNT: GatewayAccount = {
    name: "county",
    keys: ["k"],
    priority: undefined,
    quotaPerSecond: 100,
    quotaBurst: 50,
    countsTokens: false,
    defaultTokens: 1,
};
const TERMS = { quotaWindowMs: 8_000, quotaOverrun: 0.1, quotaSlack: 0 };
/** Nodes notice after this time that another one is silent. */
const SILENT_MS = 500;
/** Before the first request all nodes have heard each other. */
const FIRST_DEMAND_MS = 400;
const ALL_NODES = [0, 1, 2, 3, 4, 5, 6];
const ALL_HEARD = { nodes: 1, heard: [], isCounted: true };

/** What goes wrong among the nodes while all of them get eleven times the limit. */
interface Trouble {
    /** Nodes that hear nobody from 12 s to 22 s. */
    readonly cut?: readonly number[];
    /** Nodes that are killed at 9 s, after a flood, and back half a second later. */
    readonly killed?: readonly number[];
}

/** Plays seven nodes that hear each other each 200 ms, and gives the most that all admitted together in a window. */
function measureMostAdmitted(account: GatewayAccount, terms: QuotaPolicy, { cut = [], killed = [] }: Trouble): number {
    const createNode = (index: number, startedAtMs?: number) => ({
        index,
        quotas: createAccountQuotas(terms, startedAtMs),
        heard: new Map<number, { atMs: number; total: number; peer: PeerReport }>(),
    });
    const nodes = Array.from({ length: 7 }, (_, index) => createNode(index));
    const limit = (account.quotaPerSecond * terms.quotaWindowMs) / 1_000 + account.quotaBurst;
    const request = limit / 250;
    const admitted: { atMs: number; amount: number }[] = [];
    for (let nowMs = 0; nowMs < 30_000; nowMs += 20) {
        if (nowMs === 9_500) {
            killed.forEach(index => nodes.splice(index, 1, createNode(index, nowMs)));
        }
        const live = nodes.filter(({ index }) => nowMs < 9_000 || nowMs >= 9_500 || !killed.includes(index));
        const isApart = (one: number, other: number) =>
            nowMs > 12_000 && nowMs < 22_000 && one !== other && (cut.includes(one) || cut.includes(other));
        for (const from of live.filter(node => (nowMs + node.index * 40) % 200 === 0)) {
            const total = from.quotas.readTotals().get(account.name) ?? 0;
            const peer = { node: String(from.index), ...from.quotas.describeCounts(nowMs) };
            for (const to of live.filter(node => node !== from && !isApart(node.index, from.index))) {
                const before = to.heard.get(from.index);
                const added = total - (before !== undefined && before.total <= total ? before.total : 0);
                if (before !== undefined) {
                    to.quotas.recordPeerUsage(peer.node, account.name, added, nowMs);
                }
                to.heard.set(from.index, { atMs: nowMs, total, peer });
            }
        }
        for (const { quotas, heard } of nowMs < FIRST_DEMAND_MS ? [] : live) {
            const lately = [...heard.values()].filter(({ atMs }) => nowMs - atMs < SILENT_MS);
            const view = { nodes: nodes.length, heard: lately.map(({ peer }) => peer), isCounted: true };
            if (quotas.charge(account, request, view, nowMs)) {
                admitted.push({ atMs: nowMs, amount: request });
            }
        }
    }
    const sums = admitted.map(({ atMs }) =>
        admitted
            .filter(one => one.atMs <= atMs && one.atMs > atMs - terms.quotaWindowMs)
            .reduce((sum, one) => sum + one.amount, 0),
    );
    return Math.max(...sums);
}

describe("a count over a sliding window", () => {
    it("is never below what was added within the window", () => {
        const additions = fc.array(fc.record({ gapMs: fc.nat(900), amount: fc.nat(20) }), { maxLength: 60 });
        fc.assert(
            fc.property(additions, list => {
                const count = createSlidingWindowCounter(3_000);
                const added: { atMs: number; amount: number }[] = [];
                let nowMs = 0;
                for (const { gapMs, amount } of list) {
                    nowMs += gapMs;
                    count.add(amount, nowMs);
                    added.push({ atMs: nowMs, amount });
                    const within = added
                        .filter(one => one.atMs > nowMs - 3_000)
                        .reduce((sum, one) => sum + one.amount, 0);
                    assert.ok(count.sum(nowMs) >= within);
                }
            }),
            { seed: 7 },
        );
    });

    it("forgets what is older than the window", () => {
        const count = createSlidingWindowCounter(3_000);
        count.add(5, 0);
        assert.equal(count.sum(2_900), 5);
        assert.equal(count.sum(3_300), 0);
        assert.equal(count.sum(60_000), 0);
    });
});

describe("the allowance for retries", () => {
    it("keeps all nodes together within the bound, whatever their share of the requests", () => {
        const terms = { ratio: 0.2, slack: 54, windowMs: 10_000 };
        const nodes = 9;
        const allowances = Array.from({ length: nodes }, () => createServiceRetryBudget(terms));
        let requests = 0;
        let extra = 0;
        for (let nowMs = 0; nowMs < 10_000; nowMs += 20) {
            allowances.forEach((allowance, index) => {
                if (index < 2) {
                    allowance.recordRequest(nowMs);
                    requests++;
                }
                extra += allowance.chargeRetry(nodes, nowMs) ? 1 : 0;
            });
        }
        assert.ok(extra > 0);
        assert.ok(extra <= terms.ratio * requests + terms.slack);
    });
});

describe("quotas of accounts", () => {
    it("admit what the bound over a window grants, and no more", () => {
        const quotas = createAccountQuotas(TERMS, undefined);
        let admitted = 0;
        for (let nowMs = 0; nowMs < 8_000; nowMs += 5) {
            admitted += quotas.charge(ACCOUNT, 1, ALL_HEARD, nowMs) ? 1 : 0;
        }
        assert.ok(admitted >= 850);
        assert.ok(admitted <= 850 * 1.1);
    });

    it("count what peers charge: the quota itself is granted, and not its whole overrun", () => {
        const quotas = createAccountQuotas(TERMS, undefined);
        quotas.recordPeerUsage("west-2", "county", 800, 0);
        assert.ok(quotas.charge(ACCOUNT, 50, ALL_HEARD, 100));
        assert.ok(!quotas.charge(ACCOUNT, 80, ALL_HEARD, 200));
    });

    it("leave an equal part to nodes that aren't heard", () => {
        const quotas = createAccountQuotas(TERMS, undefined);
        assert.ok(quotas.charge(ACCOUNT, 80, { nodes: 10, heard: [], isCounted: true }, 0));
        assert.ok(!quotas.charge(ACCOUNT, 80, { nodes: 10, heard: [], isCounted: true }, 100));
    });

    it("grant nothing to a node that the others have stopped to count", () => {
        const quotas = createAccountQuotas(TERMS, undefined);
        assert.ok(
            !quotas.charge(
                ACCOUNT,
                1,
                { nodes: 10, heard: [{ node: "west-2", used: {}, countsForMs: 60_000 }], isCounted: false },
                0,
            ),
        );
    });

    const account = { ...ACCOUNT, countsTokens: true };
    const terms = { ...TERMS, quotaSlack: 45 };
    const bound = 850 * 1.1 + 45;

    it("hold over all nodes from the first moment at which some are cut off from each other", () => {
        for (const cut of [[], [3], [3, 5], [0, 1, 2], [0, 1, 2, 3, 4, 5, 6]]) {
            const most = measureMostAdmitted(account, terms, { cut });
            assert.ok(most <= bound, `${most} of ${bound} while ${cut.length} nodes are cut off`);
        }
    });

    it("hold over all nodes when some start again after a flood", () => {
        for (const killed of [[2], [0, 1, 4, 6], [0, 1, 2, 3, 4, 5], ALL_NODES]) {
            const most = measureMostAdmitted(account, terms, { killed });
            assert.ok(most <= bound, `${most} of ${bound} after ${killed.length} nodes were killed`);
        }
    });

    it("grow from nothing after a restart while no node is heard that knows what was charged before", () => {
        const quotas = createAccountQuotas(TERMS, 0);
        assert.ok(!quotas.charge(ACCOUNT, 200, ALL_HEARD, 1_000));
        assert.ok(quotas.charge(ACCOUNT, 200, ALL_HEARD, 4_000));
    });

    it("give back what a refused request was charged", () => {
        const quotas = createAccountQuotas(TERMS, undefined);
        assert.ok(quotas.charge(ACCOUNT, 900, ALL_HEARD, 0));
        assert.ok(!quotas.charge(ACCOUNT, 100, ALL_HEARD, 10));
        quotas.refund("county", 900, 20);
        assert.ok(quotas.charge(ACCOUNT, 100, ALL_HEARD, 30));
    });

    it("don't bind accounts without a limit", () => {
        const quotas = createAccountQuotas(TERMS, undefined);
        assert.ok(quotas.charge({ ...ACCOUNT, quotaPerSecond: 0 }, 1_000_000, ALL_HEARD, 0));
    });
});
