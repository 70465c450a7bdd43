import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { type Demand, type SimulationResult, simulateAdmission } from "./_testing/simulateAdmission";

const LOADS = [0.8, 1, 1.5, 3];
const RANK_SHARES = [0.2, 0.3, 0.5];
const ACCOUNT_SHARES = { small: 0.1, middle: 0.3, large: 0.6 };
/** Relative errors of the shares, by the random numbers of a run of some seconds. */
const TOLERANCE = 0.15;

const listDemands = (load: number): readonly Demand[] =>
    RANK_SHARES.flatMap((rankShare, rank) =>
        Object.entries(ACCOUNT_SHARES).map(([name, share]) => ({
            account: `${name}-${rank}`,
            rank,
            share: load * rankShare * share,
        })),
    );
const sum = (values: readonly number[]) => values.reduce((total, value) => total + value, 0);
const sumGoodput = ({ goodput }: SimulationResult) => sum(Object.values(goodput));
const sumRank = ({ goodput }: SimulationResult, demands: readonly Demand[], rank: number) =>
    sum(demands.filter(demand => demand.rank === rank).map(({ account }) => goodput[account] ?? 0));

/** Computes the fair share of each account in an amount: equal, and never more than it has asked for. */
function computeFairShares(asked: readonly number[], amount: number): readonly number[] {
    let [low, high] = [0, Math.max(...asked)];
    for (let step = 0; step < 50; step++) {
        const level = (low + high) / 2;
        [low, high] = sum(asked.map(value => Math.min(value, level))) < amount ? [level, high] : [low, level];
    }
    return asked.map(value => Math.min(value, high));
}

function assertFair(result: SimulationResult, demands: readonly Demand[]): void {
    for (const rank of new Set(demands.map(demand => demand.rank))) {
        const accounts = demands.filter(demand => demand.rank === rank).map(({ account }) => account);
        const amount = sumRank(result, demands, rank);
        if (amount < 0.1) {
            continue;
        }
        const asked = accounts.map(account => result.offered[account] ?? 0);
        const fair = computeFairShares(asked, amount);
        const ratios = accounts.map((account, index) => (result.goodput[account] ?? 0) / (fair[index] ?? 1));
        const isUnfair = Math.min(...ratios) < 1 - TOLERANCE && Math.max(...ratios) > 1 + TOLERANCE;
        assert.ok(
            !isUnfair,
            `rank ${rank}: ${accounts.map((name, at) => `${name} ${ratios[at]?.toFixed(2)}`).join(", ")}`,
        );
    }
}

function print(name: string, result: SimulationResult): void {
    const format = (values: Readonly<Record<string, number>>) =>
        Object.entries(values)
            .map(([account, value]) => `${account} ${value.toFixed(3)}`)
            .join(", ");
    const { lateShare, endpointRefusals, waited, refusedAfterMs } = result;
    process.stdout.write(
        `${name}: goodput ${sumGoodput(result).toFixed(3)} (${format(result.goodput)}), late ${lateShare.toFixed(3)}, ` +
            `refused by endpoints ${endpointRefusals}, waited ${waited}, refused after ${refusedAfterMs.toFixed(0)} ms at most\n`,
    );
}

// Guards against: urgent requests refused while others run, goodput that falls under overload, requests kept in vain.
describe("admission at a multiple of the capacity", () => {
    for (const [name, options] of [
        ["with state reports", { hasReports: true }],
        ["without state reports", { hasReports: false }],
        ["with half of the callers at one of six nodes", { hasReports: true, firstNodeShare: 0.5 }],
    ] as const) {
        for (const seed of [1, 2]) {
            it(`holds the goodput, the ranks and the shares ${name}, seed ${seed}`, () => {
                const results = LOADS.map(load => {
                    const demands = listDemands(load);
                    const baseline = simulateAdmission({ ...options, demands, hasAdmission: false, seed });
                    const result = simulateAdmission({ ...options, demands, hasAdmission: true, seed });
                    print(`${name}, seed ${seed}, load ${load}, present behaviour`, baseline);
                    print(`${name}, seed ${seed}, load ${load}, admission`, result);
                    assert.ok(result.keptLateMs <= 0, `kept ${result.keptLateMs} ms after its objective`);
                    assertFair(result, demands);
                    return { load, demands, result, baseline };
                });
                const [low, full, ...overloads] = results;
                assert.ok(low !== undefined && full !== undefined);
                // Nobody is refused or late where the capacity suffices; the rest has not ended when the run does.
                assert.ok(sumGoodput(low.result) >= 0.97 * sum(Object.values(low.result.offered)));
                for (const { load, demands, result, baseline } of overloads) {
                    const sumServed = (run: SimulationResult) =>
                        sumRank(run, demands, 0) /
                        sum(demands.filter(({ rank }) => rank === 0).map(({ account }) => run.offered[account] ?? 0));
                    assert.ok(sumGoodput(result) >= 0.9 * sumGoodput(full.result), `goodput at ${load}`);
                    const served = sumServed(result);
                    assert.ok(served >= 0.85, `rank 0 at ${load}: ${served}`);
                    assert.ok(served > 1.2 * sumServed(baseline), `rank 0 at ${load}: ${served}`);
                }
            });
        }
    }
});

// Guards against: an account whose callers use a node with little capacity for its rank gets less than its fair share.
describe("admission with half of the callers at one of six nodes", () => {
    it("gives the accounts fair shares over all nodes", () => {
        const demands = listDemands(1.5);
        assertFair(simulateAdmission({ demands, hasAdmission: true, firstNodeShare: 0.5, seed: 1 }), demands);
    });
});

// Guards against: one account that floods takes the capacity of the others in its rank.
describe("admission beside an account that floods", () => {
    const demands = Object.entries({ small: 0.05, middle: 0.15, large: 0.5, flooding: 2 }).map(([account, share]) => ({
        account,
        rank: 1,
        share,
    }));
    for (const seed of [1, 2]) {
        it(`gives the others their fair shares, seed ${seed}`, () => {
            const baseline = simulateAdmission({ demands, hasAdmission: false, seed });
            const result = simulateAdmission({ demands, hasAdmission: true, seed });
            print(`flood, seed ${seed}, present behaviour`, baseline);
            print(`flood, seed ${seed}, admission`, result);
            assertFair(result, demands);
            assert.ok((result.goodput["small"] ?? 0) > 1.5 * (baseline.goodput["small"] ?? 0));
            assert.ok(sumGoodput(result) >= 0.9);
        });
    }
});
