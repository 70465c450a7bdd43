import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createChat, readEvents } from "../adapters/contracts/_lib/generations";
import { createEndpoint } from "../adapters/contracts/createEndpoint";
import { waitUntil } from "../adapters/contracts/waitUntil";
import { createHttpModelRunner } from "../adapters/httpModelRunner/createHttpModelRunner";
import { Execution } from "../base/failure";
import { VmRole } from "../model/endpoint";
import { createModelRunnerStandin } from "./createModelRunnerStandin";
import { FaultKind } from "./fault";

// Guards against a stand-in that survives what ends a runner: without it, no test shows a prompt that crashes runners.
describe("A runner that crashes on a prompt", () => {
    it("breaks all its streams as that answer begins, is away, and comes back without its KV cache", async context => {
        const runner = await createModelRunnerStandin({ engine: { tokenGapMs: 20 } });
        const adapter = createHttpModelRunner();
        context.after(() => [adapter, runner].forEach(owned => owned.dispose()));
        runner.setFaults([{ kind: FaultKind.Crash, promptText: "poison", delayMs: 300 }]);
        const endpoint = createEndpoint(VmRole.ModelRunner, runner);
        const generate = (requestId: string, tokens: number, text: string) =>
            readEvents(
                adapter.openGeneration(endpoint, {
                    id: { requestId, attempt: 1 },
                    chat: createChat(tokens, text),
                    priority: 0,
                    resumedTexts: [],
                }),
            );
        const other = generate("other", 200, "Write a long story.");
        await waitUntil(() => runner.countActive() === 1, "the other generation runs");
        const poisoned = await generate("poisoned", 5, "Some poison here.");
        assert.equal(poisoned.failure?.execution, Execution.Unknown);
        assert.deepEqual(poisoned.texts, []);
        assert.equal((await other).isFinished, false);
        assert.equal((await generate("early", 2, "Hello.")).failure?.execution, Execution.NotRun);
        await new Promise(resolve => setTimeout(resolve, 400));
        assert.equal(runner.countActive(), 0);
        assert.ok((await generate("late", 2, "Hello again.")).isFinished);
    });
});
