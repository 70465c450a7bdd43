import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { type QuarantineSimulation, simulateQuarantine } from "../_testing/simulateQuarantine";

const CALM: QuarantineSimulation = {
    seed: 1,
    nodes: 5,
    endpoints: 12,
    requestsPerSecond: 40,
    durationMs: 30_000,
    deadlyShare: 0.15,
    deadlyFromMs: 4_000,
    harmlessShare: 0,
    crashesPerSecond: 0,
    resetsPerSecond: 0,
    lossShare: 0.1,
    restartsPerSecond: 0,
};
const NOISE = { crashesPerSecond: 0.3, resetsPerSecond: 0.5, lossShare: 0.3, restartsPerSecond: 0.1 };
const LATE_MAX = 3;
const SEEDS = [1, 2, 3];

/** Kinds of fleets, with the largest share of requests without the deadly part that may be refused. */
const KINDS: Readonly<Record<string, readonly [Partial<QuarantineSimulation>, number]>> = {
    "three nodes": [{ nodes: 3 }, 0.03],
    "nine nodes": [{ nodes: 9, requestsPerSecond: 90 }, 0.03],
    "half of all requests": [{ deadlyShare: 0.5 }, 0.03],
    "other crashes, resets, restarts and lost news beside": [NOISE, 0.03],
    "a part that was harmless before": [{ deadlyFromMs: 15_000, harmlessShare: 0.15 }, 0.15],
    "requests may be executed three times": [{ attemptsMax: 3 }, 0.03],
    "three executions, other crashes beside": [{ ...NOISE, attemptsMax: 3 }, 0.03],
};

describe("the quarantine of a fleet", () => {
    // Guards against requests with a deadly part that reach endpoints long after the fifth crash.
    for (const [name, [changes, refusedMax]] of Object.entries(KINDS)) {
        it(`keeps a deadly part from endpoints: ${name}`, async () => {
            for (const seed of SEEDS) {
                const seen = await simulateQuarantine({ ...CALM, ...changes, seed });
                assert.ok(seen.lateDeadly <= LATE_MAX, `seed ${seed}: ${JSON.stringify(seen)}`);
                assert.ok(seen.refusedSound <= refusedMax * seen.sound, `seed ${seed}: ${JSON.stringify(seen)}`);
                assert.ok(seen.refusedAtEnd > 0, `seed ${seed}: ${JSON.stringify(seen)}`);
            }
        });
    }

    // Guards against requests that aren't sent again since a failure domain was reclaimed at once under them.
    it("sends all but few requests again in waves of crashes", async () => {
        const wavesAtMs = [5_000, 15_000, 25_000];
        for (const seed of SEEDS) {
            const seen = await simulateQuarantine({ ...CALM, deadlyShare: 0, attemptsMax: 3, wavesAtMs, seed });
            const unanswered = seen.notRepeatedSound + seen.refusedSound;
            assert.ok(unanswered <= 0.003 * seen.sound, `seed ${seed}: ${JSON.stringify(seen)}`);
        }
    });

    // Guards against innocent parts in quarantine because endpoints crash of other causes.
    it("refuses next to nothing while endpoints crash of other causes only", async () => {
        for (const seed of SEEDS) {
            const seen = await simulateQuarantine({ ...CALM, ...NOISE, deadlyShare: 0, seed });
            assert.ok(seen.refusedSound <= 0.03 * seen.sound, `seed ${seed}: ${JSON.stringify(seen)}`);
        }
    });
});
