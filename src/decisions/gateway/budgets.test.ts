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
const POLICY = { quotaWindowMs: 8_000, quotaOverrun: 0.1, quotaSlack: 0 };
/** Time without a report after which a peer counts as unreachable. */
const UNREACHABLE_AFTER_MS = 500;
/** Time of the first request; by then all nodes have received each other's reports. */
const FIRST_REQUEST_MS = 400;
const ALL_NODES = [0, 1, 2, 3, 4, 5, 6];
const SINGLE_NODE_VIEW = { nodes: 1, heard: [], isCounted: true };

/** Failures of nodes in the simulation, in which requests for eleven times the limit arrive. */
interface NodeFailures {
    /** Nodes that receive no reports, and whose reports arrive nowhere, from 12 s to 22 s. */
    readonly cut?: readonly number[];
    /** Nodes that are killed at 9 s, after the limit was reached, and restart half a second later. */
    readonly killed?: readonly number[];
}

/** Simulates seven nodes that report every 200 ms; gives the maximum that all of them together admitted in a window. */
function measureMaximumAdmitted(
    account: GatewayAccount,
    policy: QuotaPolicy,
    { cut = [], killed = [] }: NodeFailures,
): number {
    const createNode = (index: number, startedAtMs?: number) => ({
        index,
        quotas: createAccountQuotas(policy, startedAtMs),
        heard: new Map<number, { atMs: number; total: number; peer: PeerReport }>(),
    });
    const nodes = Array.from({ length: 7 }, (_, index) => createNode(index));
    const limit = (account.quotaPerSecond * policy.quotaWindowMs) / 1_000 + account.quotaBurst;
    const request = limit / 250;
    const admitted: { atMs: number; amount: number }[] = [];
    for (let nowMs = 0; nowMs < 30_000; nowMs += 20) {
        if (nowMs === 9_500) {
            killed.forEach(index => nodes.splice(index, 1, createNode(index, nowMs)));
        }
        const live = nodes.filter(({ index }) => nowMs < 9_000 || nowMs >= 9_500 || !killed.includes(index));
        const isCutOff = (one: number, other: number) =>
            nowMs > 12_000 && nowMs < 22_000 && one !== other && (cut.includes(one) || cut.includes(other));
        for (const from of live.filter(node => (nowMs + node.index * 40) % 200 === 0)) {
            const total = from.quotas.readTotals().get(account.name) ?? 0;
            const peer = { node: String(from.index), ...from.quotas.describeCounts(nowMs) };
            for (const to of live.filter(node => node !== from && !isCutOff(node.index, from.index))) {
                const before = to.heard.get(from.index);
                const added = total - (before !== undefined && before.total <= total ? before.total : 0);
                if (before !== undefined) {
                    to.quotas.recordPeerUsage(peer.node, account.name, added, nowMs);
                }
                to.heard.set(from.index, { atMs: nowMs, total, peer });
            }
        }
        for (const { quotas, heard } of nowMs < FIRST_REQUEST_MS ? [] : live) {
            const recent = [...heard.values()].filter(({ atMs }) => nowMs - atMs < UNREACHABLE_AFTER_MS);
            const view = { nodes: nodes.length, heard: recent.map(({ peer }) => peer), isCounted: true };
            if (quotas.charge(account, request, view, nowMs)) {
                admitted.push({ atMs: nowMs, amount: request });
            }
        }
    }
    const sums = admitted.map(({ atMs }) =>
        admitted
            .filter(one => one.atMs <= atMs && one.atMs > atMs - policy.quotaWindowMs)
            .reduce((sum, one) => sum + one.amount, 0),
    );
    return Math.max(...sums);
}

describe("a sliding-window counter", () => {
    it("gives a sum that is never below what was added within the window", () => {
        const additions = fc.array(fc.record({ gapMs: fc.nat(900), amount: fc.nat(20) }), { maxLength: 60 });
        fc.assert(
            fc.property(additions, list => {
                const counter = createSlidingWindowCounter(3_000);
                const added: { atMs: number; amount: number }[] = [];
                let nowMs = 0;
                for (const { gapMs, amount } of list) {
                    nowMs += gapMs;
                    counter.add(amount, nowMs);
                    added.push({ atMs: nowMs, amount });
                    const within = added
                        .filter(one => one.atMs > nowMs - 3_000)
                        .reduce((sum, one) => sum + one.amount, 0);
                    assert.ok(counter.sum(nowMs) >= within);
                }
            }),
            { seed: 7 },
        );
    });

    it("drops amounts that are older than the window", () => {
        const counter = createSlidingWindowCounter(3_000);
        counter.add(5, 0);
        assert.equal(counter.sum(2_900), 5);
        assert.equal(counter.sum(3_300), 0);
        assert.equal(counter.sum(60_000), 0);
    });
});

describe("the retry budget of a service", () => {
    it("keeps all nodes together within the limit, whatever their share of the requests", () => {
        const policy = { ratio: 0.2, slack: 54, windowMs: 10_000 };
        const nodeCount = 9;
        const budgets = Array.from({ length: nodeCount }, () => createServiceRetryBudget(policy));
        let requests = 0;
        let retries = 0;
        for (let nowMs = 0; nowMs < 10_000; nowMs += 20) {
            budgets.forEach((budget, index) => {
                if (index < 2) {
                    budget.recordRequest(nowMs);
                    requests++;
                }
                retries += budget.chargeRetry(nodeCount, nowMs) ? 1 : 0;
            });
        }
        assert.ok(retries > 0);
        assert.ok(retries <= policy.ratio * requests + policy.slack);
    });
});

describe("account quotas", () => {
    it("admit at least the quota in a window, and no more than the tolerance allows", () => {
        const quotas = createAccountQuotas(POLICY, undefined);
        let admitted = 0;
        for (let nowMs = 0; nowMs < 8_000; nowMs += 5) {
            admitted += quotas.charge(ACCOUNT, 1, SINGLE_NODE_VIEW, nowMs) ? 1 : 0;
        }
        assert.ok(admitted >= 850);
        assert.ok(admitted <= 850 * 1.1);
    });

    it("count the usage that peers report, and grant the quota but not the whole overrun", () => {
        const quotas = createAccountQuotas(POLICY, undefined);
        quotas.recordPeerUsage("west-2", "county", 800, 0);
        assert.ok(quotas.charge(ACCOUNT, 50, SINGLE_NODE_VIEW, 100));
        assert.ok(!quotas.charge(ACCOUNT, 80, SINGLE_NODE_VIEW, 200));
    });

    it("leave an equal share to each unreachable node", () => {
        const quotas = createAccountQuotas(POLICY, undefined);
        assert.ok(quotas.charge(ACCOUNT, 80, { nodes: 10, heard: [], isCounted: true }, 0));
        assert.ok(!quotas.charge(ACCOUNT, 80, { nodes: 10, heard: [], isCounted: true }, 100));
    });

    it("grant nothing to a node that the others no longer count", () => {
        const quotas = createAccountQuotas(POLICY, undefined);
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
    const policy = { ...POLICY, quotaSlack: 45 };
    const bound = 850 * 1.1 + 45;

    it("hold over all nodes together while some are isolated", () => {
        for (const cut of [[], [3], [3, 5], [0, 1, 2], [0, 1, 2, 3, 4, 5, 6]]) {
            const maximum = measureMaximumAdmitted(account, policy, { cut });
            assert.ok(maximum <= bound, `${maximum} admitted of ${bound} while ${cut.length} nodes are isolated`);
        }
    });

    it("hold over all nodes together when some restart after the limit was reached", () => {
        for (const killed of [[2], [0, 1, 4, 6], [0, 1, 2, 3, 4, 5], ALL_NODES]) {
            const maximum = measureMaximumAdmitted(account, policy, { killed });
            assert.ok(maximum <= bound, `${maximum} admitted of ${bound} after ${killed.length} nodes were killed`);
        }
    });

    it("grow from near zero after a restart while no reachable peer knows the usage before it", () => {
        const quotas = createAccountQuotas(POLICY, 0);
        assert.ok(!quotas.charge(ACCOUNT, 200, SINGLE_NODE_VIEW, 1_000));
        assert.ok(quotas.charge(ACCOUNT, 200, SINGLE_NODE_VIEW, 4_000));
    });

    it("can be charged again after a refund", () => {
        const quotas = createAccountQuotas(POLICY, undefined);
        assert.ok(quotas.charge(ACCOUNT, 900, SINGLE_NODE_VIEW, 0));
        assert.ok(!quotas.charge(ACCOUNT, 100, SINGLE_NODE_VIEW, 10));
        quotas.refund("county", 900, 20);
        assert.ok(quotas.charge(ACCOUNT, 100, SINGLE_NODE_VIEW, 30));
    });

    it("don't apply to accounts without a limit", () => {
        const quotas = createAccountQuotas(POLICY, undefined);
        assert.ok(quotas.charge({ ...ACCOUNT, quotaPerSecond: 0 }, 1_000_000, SINGLE_NODE_VIEW, 0));
    });
});
