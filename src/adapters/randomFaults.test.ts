import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { createRandom, type Random } from "../base/createRandom";
import { Execution, FailureKind } from "../base/failure";
import { VmRole } from "../model/endpoint";
import { createApplicationRunnerStandin } from "../standins/createApplicationRunnerStandin";
import { createModelRunnerStandin } from "../standins/createModelRunnerStandin";
import { createPlatformStandin } from "../standins/createPlatformStandin";
import { FaultKind, type FaultRule } from "../standins/fault";
import { generateAnswer } from "../standins/modelEngine/generateAnswer";
import { createChat, readEvents } from "./contracts/_lib/generations";
import { createEndpoint } from "./contracts/createEndpoint";
import { createHttpApplicationRunner } from "./httpApplicationRunner/createHttpApplicationRunner";
import { createHttpModelRunner } from "./httpModelRunner/createHttpModelRunner";
import { createHttpTable } from "./httpTable/createHttpTable";

const SEEDS = [11, 12, 13];
const ROUNDS = 25;
const CALLS_PER_ROUND = 8;
const TIMEOUTS = { connectMs: 200, firstByteMs: 60, silenceMs: 60 };
const LONGEST_DELAY_MS = 120;
const KINDS = Object.values(FaultKind);

function drawRules(random: Random): readonly FaultRule[] {
    return Array.from({ length: random.drawInteger(0, 3) }, () => ({
        kind: KINDS[random.drawInteger(0, KINDS.length - 1)]!,
        share: random.drawInteger(1, 4) / 4,
        delayMs: random.drawInteger(0, LONGEST_DELAY_MS),
        afterTokens: random.drawInteger(0, 10),
    }));
}

async function runRounds(
    seed: number,
    setFaults: (rules: readonly FaultRule[]) => void,
    runCall: (label: string) => Promise<void>,
): Promise<void> {
    const random = createRandom(seed);
    for (let round = 0; round < ROUNDS; round++) {
        const calls = Array.from({ length: CALLS_PER_ROUND }, (_, index) => runCall(`${round}-${index}`));
        setFaults(drawRules(random));
        await sleep(random.drawInteger(0, 10));
        await Promise.all(calls);
    }
    setFaults([]);
    await sleep(LONGEST_DELAY_MS + TIMEOUTS.firstByteMs);
}

for (const seed of SEEDS) {
    describe(`Under random faults (seed ${seed})`, () => {
        it("a commit that is said to have no effect has none, and one that succeeds has its own", async context => {
            const platform = await createPlatformStandin({ seed });
            const table = createHttpTable({ ...platform, timeouts: TIMEOUTS });
            context.after(() => [table, platform].forEach(owned => owned.dispose()));
            const reported = new Map<string, FailureKind | undefined>();
            await runRounds(seed, platform.setFaults, async label => {
                const writes = [{ key: label, value: label }];
                const result = await table.commitTransaction({ token: label, conditions: [], writes });
                reported.set(label, result.isErr() ? result.error.kind : undefined);
            });
            for (const [label, kind] of reported) {
                const isThere = platform.rows.get(label)?.token === label;
                assert.ok(kind !== FailureKind.StoreUnavailable || !isThere, `${label} was written`);
                assert.ok(kind !== undefined || isThere, `${label} was not written`);
            }
            const kinds = new Set(reported.values());
            assert.ok(kinds.has(undefined) && kinds.has(FailureKind.StoreOutcomeUnknown));
        });

        it("a call runs once at most, not at all if said so, and gets its own answer", async context => {
            const runner = await createApplicationRunnerStandin({ seed, latencyMs: 2 });
            const runners = createHttpApplicationRunner({ timeouts: TIMEOUTS });
            context.after(() => [runners, runner].forEach(owned => owned.dispose()));
            const endpoint = createEndpoint(VmRole.ApplicationRunner, runner);
            const reported = new Map<string, Execution>();
            await runRounds(seed, runner.setFaults, async label => {
                const call = { serviceName: "register", method: "POST", headers: {}, body: Buffer.from(label) };
                const answer = await runners.callService(
                    endpoint,
                    { requestId: label, attempt: 1 },
                    { ...call, path: `/${label}` },
                    { timeoutMs: TIMEOUTS.firstByteMs, cancelled: new AbortController().signal },
                );
                if (answer.isOk() && answer.value.status === 200) {
                    const { path } = JSON.parse(answer.value.body.toString()) as { path: string };
                    assert.equal(path, `/${label}`);
                }
                reported.set(label, answer.isOk() ? Execution.Ran : answer.error.execution);
            });
            for (const [label, execution] of reported) {
                const count = runner.countExecutions(label);
                assert.ok(count <= 1, `${label} ran ${count} times`);
                assert.ok(execution !== Execution.NotRun || count === 0, `${label} ran`);
                assert.ok(execution !== Execution.Ran || count === 1, `${label} did not run`);
            }
            assert.ok([...reported.values()].includes(Execution.Unknown));
        });

        it("the tokens under a generation's own identity are those of its answer, and all of them if it finishes", async context => {
            const engine = { tokenGapMs: 1, tokenGapPerSequenceMs: 0, prefillTokensPerSecond: 1_000_000 };
            const runner = await createModelRunnerStandin({ seed, engine });
            const runners = createHttpModelRunner({ timeouts: TIMEOUTS });
            context.after(() => [runners, runner].forEach(owned => owned.dispose()));
            const endpoint = createEndpoint(VmRole.ModelRunner, runner);
            const ends = { finished: 0, failed: 0 };
            await runRounds(seed, runner.setFaults, async label => {
                const chat = createChat(12, label);
                const id = { requestId: label, attempt: 1 };
                const generation = runners.openGeneration(endpoint, { id, chat, priority: 0, resumedTexts: [] });
                const read = await readEvents(generation);
                const texts = new Map<number, string>();
                for (const event of read.events) {
                    if ("batch" in event && event.id.requestId === label) {
                        event.batch.texts.forEach((text, index) => texts.set(event.batch.offset + index, text));
                    }
                }
                const answer = generateAnswer(chat.messages, chat.maximumTokens);
                assert.ok([...texts].every(([offset, text]) => answer[offset] === text));
                assert.ok(!read.isFinished || texts.size === answer.length);
                assert.ok(read.isFinished || read.failure !== undefined);
                assert.ok(read.failure?.execution !== Execution.NotRun || texts.size === 0);
                ends[read.isFinished ? "finished" : "failed"]++;
            });
            assert.ok(ends.finished > 0 && ends.failed > 0);
            assert.equal(runner.countActive(), 0);
        });
    });
}
