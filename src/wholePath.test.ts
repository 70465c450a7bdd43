import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import OpenAI from "openai";
import { LogLevel } from "./base/log/log";
import { createEmbeddedNodes } from "./dev/createEmbeddedNodes";
import { createEmbeddedPlatform, type EmbeddedPlatform } from "./dev/createEmbeddedPlatform";
import { DEPLOYMENT_PRESETS, PresetName } from "./dev/deploymentPreset";
import { installPresetConfiguration } from "./dev/installPresetConfiguration";
import type { RunningNode } from "./wire";

const ACCOUNT_KEY = "rwl_whole_path";
const PRESET = DEPLOYMENT_PRESETS[PresetName.Small];
const QUESTION = { model: "assistant", messages: [{ role: "user" as const, content: "Which feeders are out?" }] };

let embedded: EmbeddedPlatform;
let nodes: readonly RunningNode[];

before(async () => {
    embedded = await createEmbeddedPlatform(PRESET, {
        modelRunner: { engine: { tokenGapMs: 1 } },
        platform: { vmListLagMs: 0 },
    });
    nodes = await createEmbeddedNodes(PRESET, embedded, { operatorKey: "rwl_operator", logLevel: LogLevel.Error });
    await Promise.all(nodes.map(node => node.whenReady));
    const installed = await installPresetConfiguration(PRESET, nodes[0]!.configuration, ACCOUNT_KEY);
    assert.equal(installed.isOk(), true);
    await waitUntil(() => nodes.every(node => node.configuration.readCurrent().revision === 1));
});

after(() => {
    nodes.forEach(node => node.dispose());
    embedded.dispose();
});

function createClient(node: RunningNode): OpenAI {
    return new OpenAI({ apiKey: ACCOUNT_KEY, baseURL: `http://127.0.0.1:${node.callerPort}/v1`, maxRetries: 0 });
}

async function readStream(node: RunningNode): Promise<string> {
    const stream = await createClient(node).chat.completions.create({ ...QUESTION, stream: true, max_tokens: 40 });
    let text = "";
    for await (const chunk of stream) {
        text += chunk.choices[0]?.delta.content ?? "";
    }
    return text;
}

describe("the whole path", () => {
    it("streams the same answer through every node", async () => {
        const texts = await Promise.all(nodes.map(readStream));
        assert.equal(texts.length, PRESET.nodeCount);
        assert.ok((texts[0]?.length ?? 0) > 0);
        assert.equal(new Set(texts).size, 1);
    });

    it("gives the whole answer that the stream gives", async () => {
        const completion = await createClient(nodes[0]!).chat.completions.create({ ...QUESTION, max_tokens: 40 });
        assert.equal(completion.choices[0]?.message.content, await readStream(nodes[1]!));
    });

    it("calls an application runner once", async () => {
        const response = await fetch(`http://127.0.0.1:${nodes[2]!.callerPort}/services/register/entries`, {
            method: "POST",
            headers: { authorization: `Bearer ${ACCOUNT_KEY}`, "idempotency-key": "bulletin-1" },
            body: "read",
        });
        assert.equal(response.status, 200);
        const runners = [...embedded.applicationRunners.values()];
        assert.equal(
            runners.reduce((sum, runner) => sum + runner.countExecutions("bulletin-1"), 0),
            1,
        );
    });
});

async function waitUntil(condition: () => boolean): Promise<void> {
    for (let tries = 0; tries < 2_000 && !condition(); tries++) {
        await new Promise(resolve => setTimeout(resolve, 5));
    }
    assert.equal(condition(), true);
}
