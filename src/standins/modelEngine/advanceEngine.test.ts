import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { addSequence } from "./addSequence";
import { advanceEngine } from "./advanceEngine";
import { cancelSequence } from "./cancelSequence";
import { createEngineState } from "./createEngineState";
import { type EngineOutput, EngineOutputKind, type EngineSequence, type EngineState } from "./engineState";
import { measureEngineLoad } from "./measureEngineLoad";

const FAR_MS = 1_000_000;
const settings = {
    tokenGapMs: 10,
    tokenGapPerSequenceMs: 1,
    prefillTokensPerSecond: 1_000,
    prefillChunkTokens: 100,
    blockTokens: 10,
};
const createSequence = (key: string, more: Partial<EngineSequence> = {}): EngineSequence => ({
    key,
    priority: 0,
    promptTokens: 100,
    prefixHashes: [],
    resumeOffset: 0,
    importedTokens: 0,
    answerTokens: 5,
    ...more,
});
const listTokens = (outputs: readonly EngineOutput[], key: string) =>
    outputs.filter(output => output.kind === EngineOutputKind.Token && output.key === key);
const findFinish = (outputs: readonly EngineOutput[], key: string) =>
    outputs.find(output => output.kind === EngineOutputKind.Finished && output.key === key);
const listTokenTimes = (outputs: readonly EngineOutput[], key: string) =>
    listTokens(outputs, key).map(output => output.atMs);
const startEngine = (engine: EngineState, ...sequences: readonly EngineSequence[]) => {
    sequences.forEach(sequence => assert.ok(addSequence(engine, sequence)));
    return advanceEngine(engine, 0);
};

describe("An engine's batch", () => {
    it("gives the first token when the prefill is done and the others at the token gap", () => {
        const engine = createEngineState(settings);
        startEngine(engine, createSequence("a"));
        assert.deepEqual(listTokenTimes(advanceEngine(engine, FAR_MS), "a"), [100, 110, 120, 130, 140]);
        assert.equal(engine.step, undefined);
    });

    it("widens the token gap with each further sequence", () => {
        const engine = createEngineState(settings);
        const keys = ["a", "b", "c", "d"];
        startEngine(engine, ...keys.map(key => createSequence(key, { promptTokens: 1, answerTokens: 3 })));
        const times = listTokenTimes(advanceEngine(engine, FAR_MS), "a");
        assert.deepEqual(times, [4, 17, 30]);
        assert.equal(measureEngineLoad(engine).tokenGapMs, 13);
    });

    it("lengthens the steps of running sequences by the prefill of a new one", () => {
        const engine = createEngineState(settings);
        startEngine(engine, createSequence("a", { promptTokens: 1, answerTokens: 4 }));
        const begun = advanceEngine(engine, 1);
        addSequence(engine, createSequence("b", { promptTokens: 100 }));
        const times = listTokenTimes([...begun, ...advanceEngine(engine, FAR_MS)], "a");
        assert.deepEqual(times, [1, 11, 121, 132]);
    });

    it("gives the same outputs however often it is advanced", () => {
        fc.assert(
            fc.property(fc.array(fc.integer({ min: 1, max: 40 }), { maxLength: 60 }), steps => {
                const sequences = [1, 2, 3].map(index =>
                    createSequence(`${index}`, { promptTokens: index * 70, answerTokens: 10 * index }),
                );
                const often = createEngineState(settings);
                const once = createEngineState(settings);
                startEngine(often, ...sequences);
                startEngine(once, ...sequences);
                let nowMs = 0;
                const outputs = steps.flatMap(step => advanceEngine(often, (nowMs += step)));
                outputs.push(...advanceEngine(often, FAR_MS));
                assert.deepEqual(outputs, advanceEngine(once, FAR_MS));
            }),
            { seed: 7, numRuns: 50 },
        );
    });
});

describe("An engine's queue", () => {
    it("lets the more urgent join first, and the earlier of the equally urgent", () => {
        const engine = createEngineState({ ...settings, maximumRunning: 1 });
        startEngine(engine, createSequence("running"));
        addSequence(engine, createSequence("late", { priority: 5 }));
        addSequence(engine, createSequence("later", { priority: 5 }));
        addSequence(engine, createSequence("urgent", { priority: 1 }));
        const ends = advanceEngine(engine, FAR_MS).flatMap(output =>
            output.kind === EngineOutputKind.Finished ? [output.key] : [],
        );
        assert.deepEqual(ends, ["running", "urgent", "late", "later"]);
    });

    it("holds back what the KV cache has no room for, and refuses over its limit", () => {
        const engine = createEngineState({ ...settings, cacheTokens: 250, maximumWaiting: 2 });
        startEngine(engine, createSequence("a"), createSequence("b"));
        addSequence(engine, createSequence("c"));
        advanceEngine(engine, 1);
        assert.equal(measureEngineLoad(engine).running, 2);
        assert.equal(measureEngineLoad(engine).waiting, 1);
        assert.ok(addSequence(engine, createSequence("d")));
        assert.equal(addSequence(engine, createSequence("e")), false);
    });

    it("forgets cancelled sequences, waiting or running", () => {
        const engine = createEngineState({ ...settings, maximumRunning: 1 });
        startEngine(engine, createSequence("a"), createSequence("b"), createSequence("c"));
        assert.ok(cancelSequence(engine, "a"));
        assert.ok(cancelSequence(engine, "b"));
        assert.equal(cancelSequence(engine, "none"), false);
        const outputs = advanceEngine(engine, FAR_MS);
        assert.equal(listTokens(outputs, "a").length + listTokens(outputs, "b").length, 0);
        assert.equal(listTokens(outputs, "c").length, 5);
    });
});

describe("An engine's prefix cache", () => {
    const hashes = (name: string, blocks: number) => Array.from({ length: blocks }, (_, index) => `${name}${index}`);
    const runOne = (engine: EngineState, sequence: EngineSequence, nowMs: number) => {
        addSequence(engine, sequence);
        return [...advanceEngine(engine, nowMs), ...advanceEngine(engine, nowMs + 10_000)];
    };

    it("spares the prefill of a prompt that begins the same", () => {
        const engine = createEngineState(settings);
        runOne(engine, createSequence("a", { prefixHashes: hashes("p", 10) }), 0);
        const prefilledBefore = engine.prefilledTokens;
        const shared = [...hashes("p", 8), "other"];
        const outputs = runOne(engine, createSequence("b", { prefixHashes: shared }), 20_000);
        assert.equal(engine.prefilledTokens - prefilledBefore, 20);
        const finish = findFinish(outputs, "b");
        assert.ok(finish?.kind === EngineOutputKind.Finished && finish.cachedTokens === 80);
    });

    it("evicts the least recently used prefix, deepest block first, and tells", () => {
        const engine = createEngineState({ ...settings, cacheTokens: 300 });
        runOne(engine, createSequence("a", { prefixHashes: hashes("p", 10) }), 0);
        runOne(engine, createSequence("b", { prefixHashes: hashes("q", 10) }), 20_000);
        runOne(engine, createSequence("a2", { prefixHashes: hashes("p", 10) }), 40_000);
        const outputs = runOne(engine, createSequence("big", { promptTokens: 160 }), 60_000);
        const evicted = outputs.flatMap(output =>
            output.kind === EngineOutputKind.PrefixEvicted ? [output.prefixHash] : [],
        );
        assert.deepEqual(evicted, ["q8", "q7", "q6", "q5", "q4", "q3"]);
    });

    it("lets a resumed sequence go on at its offset, and an imported one without prefill", () => {
        const engine = createEngineState(settings);
        const resumed = runOne(engine, createSequence("r", { resumeOffset: 3 }), 0);
        assert.deepEqual(
            listTokens(resumed, "r").map(output => "index" in output && output.index),
            [3, 4],
        );
        assert.equal(engine.prefilledTokens, 103);
        runOne(engine, createSequence("i", { resumeOffset: 3, importedTokens: 103 }), 20_000);
        assert.equal(engine.prefilledTokens, 104);
    });
});
