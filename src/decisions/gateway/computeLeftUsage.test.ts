import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { computeLeftUsage, isMostlyUsed } from "./computeLeftUsage";
import { createUsageSamples } from "./createUsageSamples";

const WINDOW_MS = 8_000;
const LATEST_MS = 8_250;
const INPUT = { account: "county", windowMs: WINDOW_MS };
/** 100 charged until 4 s before the record, and 60 until it. */
const FORMER = {
    record: [4_000, 0].map((ageMs, index) => ({ ageMs, usage: { county: [100, 60][index] ?? 0 } })),
    atMs: 10_000,
};

describe("the usage that has left the window since a restart", () => {
    it("is what was recorded, at the time at which it leaves", () => {
        const compute = (nowMs: number) => computeLeftUsage(FORMER, { ...INPUT, countsForMs: nowMs - 12_000, nowMs });
        assert.deepEqual(compute(13_000), { amount: 0, perMs: 0 });
        assert.deepEqual(compute(14_000), { amount: 50, perMs: 0.2 });
        assert.deepEqual(compute(10_000 + LATEST_MS), { amount: 160, perMs: 0 });
        assert.equal(
            computeLeftUsage(FORMER, { ...INPUT, account: "other", countsForMs: 8_000, nowMs: 20_000 }).amount,
            0,
        );
    });

    // Guards against granting again what had left, and was perhaps granted, before the restart.
    it("leaves out what had left before it", () => {
        assert.equal(computeLeftUsage(FORMER, { ...INPUT, countsForMs: 3_000, nowMs: 10_000 + LATEST_MS }).amount, 60);
    });

    // Guards against a clock of another node, or a counter's slice, by which usage would seem to leave too early.
    it("never leaves before a whole window is over", () => {
        for (let nowMs = 10_000; nowMs < 19_000; nowMs += 50) {
            const { amount } = computeLeftUsage(FORMER, { ...INPUT, countsForMs: nowMs, nowMs });
            const atMost = (nowMs < 13_750 ? 0 : 100) + (nowMs < 17_750 ? 0 : 60);
            assert.ok(amount <= atMost, `${amount} of ${atMost} has left at ${nowMs}`);
        }
    });

    it("counts as most of a limit until the last of it can leave", () => {
        assert.ok(isMostlyUsed(FORMER, { ...INPUT, limit: 300, nowMs: 17_000 }));
        assert.ok(!isMostlyUsed(FORMER, { ...INPUT, limit: 330, nowMs: 17_000 }));
        assert.ok(!isMostlyUsed(FORMER, { ...INPUT, limit: 300, nowMs: 18_000 }));
    });
});

describe("the samples of usage", () => {
    const makeView = (recent: number, accounts = 1) => ({
        usage: Object.fromEntries(
            Array.from({ length: accounts }, (_, index) => [
                `a${index}`,
                { used: 0, recent: recent + index, asked: 0 },
            ]),
        ),
    });

    // Guards against counting one charge in two samples: it would then seem to leave twice.
    it("don't overlap, and are dropped after a window", () => {
        const samples = createUsageSamples(WINDOW_MS);
        for (let nowMs = 0; nowMs <= 20_000; nowMs += 125) {
            samples.recordView(makeView(100), nowMs);
        }
        const record = samples.buildRecord(20_000);
        assert.equal(record.length, 16);
        assert.ok(record.every(({ ageMs, usage }) => ageMs <= WINDOW_MS && (usage["a0"] ?? 0) <= 100));
    });

    // Guards against a record that grows with the number of accounts.
    it("are kept of a bounded number of accounts, those with the most usage", () => {
        const samples = createUsageSamples(WINDOW_MS);
        samples.recordView(makeView(10, 5_000), 0);
        const accounts = Object.keys(samples.buildRecord(0)[0]?.usage ?? {});
        assert.equal(accounts.length, 48);
        assert.ok(accounts.includes("a4999"));
    });
});
