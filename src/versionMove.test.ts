import assert from "node:assert/strict";
import { after, before, describe, it } from "node:test";
import { LogLevel } from "./base/log/log";
import { createEmbeddedNodes } from "./dev/createEmbeddedNodes";
import { createEmbeddedPlatform, type EmbeddedPlatform } from "./dev/createEmbeddedPlatform";
import { DEPLOYMENT_PRESETS, PresetName } from "./dev/deploymentPreset";
import { installPresetConfiguration } from "./dev/installPresetConfiguration";
import { ItemKind, MoveState, type VersionMove } from "./model/configuration";
import { VmRole } from "./model/endpoint";
import { createModelRunnerStandin, type ModelRunnerStandin } from "./standins/createModelRunnerStandin";
import { FaultKind } from "./standins/fault";
import type { RunningNode } from "./wire";

const ACCOUNT_KEY = "rwl_version_move";
const PRESET = DEPLOYMENT_PRESETS[PresetName.Small];
const CALLERS = 12;
const MOST_REQUESTS = 6_000;

let embedded: EmbeddedPlatform;
let nodes: readonly RunningNode[];
let newRunners: readonly ModelRunnerStandin[];

before(async () => {
    const engine = { tokenGapMs: 1 };
    embedded = await createEmbeddedPlatform(PRESET, { modelRunner: { engine }, platform: { vmListLagMs: 0 } });
    newRunners = await Promise.all([1, 2].map(seed => createModelRunnerStandin({ seed, engine, version: "v2" })));
    const [template] = embedded.platform.listVmsNow().filter(vm => vm.role === VmRole.ModelRunner);
    newRunners.forEach((runner, index) =>
        embedded.platform.addVm({ ...template!, vmId: `new-${index}`, port: runner.port, version: "v2" }),
    );
    nodes = await createEmbeddedNodes(PRESET, embedded, { operatorKey: "rwl_operator", logLevel: LogLevel.Error });
    await Promise.all(nodes.map(node => node.whenReady));
    const installed = await installPresetConfiguration(PRESET, nodes[0]!.configuration, ACCOUNT_KEY);
    assert.equal(installed.isOk(), true);
    await Promise.all(nodes.map(waitForFirstRevision));
});

after(() => {
    nodes.forEach(node => node.dispose());
    newRunners.forEach(runner => runner.dispose());
    embedded.dispose();
});

function waitForFirstRevision(node: RunningNode): Promise<void> {
    return new Promise(resolve => {
        const release = node.configuration.subscribeApplied(() => {
            release();
            resolve();
        });
        if (node.configuration.readCurrent().revision > 0) {
            release();
            resolve();
        }
    });
}

async function beginMove(): Promise<void> {
    const { configuration } = nodes[1]!;
    const value: VersionMove = {
        name: "move-1",
        serviceName: "assistant",
        fromVersion: "v1",
        toVersion: "v2",
        doneByWallMs: Date.now() + 600_000,
        state: MoveState.Moving,
        share: 0,
        reason: "",
    };
    const accepted = await configuration.commitChange({
        basedOnRevision: configuration.readCurrent().revision,
        items: [{ kind: ItemKind.VersionMove, name: value.name, value }],
    });
    assert.equal(accepted.isOk(), true);
}

function readMove(node: RunningNode): VersionMove | undefined {
    return node.configuration.readCurrent().versionMoves["move-1"];
}

async function sendQuestion(node: RunningNode, question: number): Promise<number> {
    const response = await fetch(`http://127.0.0.1:${node.callerPort}/v1/chat/completions`, {
        method: "POST",
        headers: { authorization: `Bearer ${ACCOUNT_KEY}` },
        body: JSON.stringify({
            model: "assistant",
            max_tokens: 2,
            messages: [{ role: "user", content: `Question ${question}` }],
        }),
    });
    await response.arrayBuffer();
    return response.status;
}

describe("a version that fails on real nodes", () => {
    it("is taken back everywhere, and no caller sees its failures", async () => {
        newRunners.forEach(runner => runner.setFaults([{ kind: FaultKind.VersionFailing, version: "v2" }]));
        await beginMove();
        const statuses = new Map<number, number>();
        let asked = 0;
        const callUntilEnded = async () => {
            while (asked < MOST_REQUESTS && readMove(nodes[0]!)?.state !== MoveState.TakenBack) {
                const question = asked++;
                const status = await sendQuestion(nodes[question % nodes.length]!, question);
                statuses.set(status, (statuses.get(status) ?? 0) + 1);
            }
        };
        await Promise.all(Array.from({ length: CALLERS }, callUntilEnded));
        assert.equal(readMove(nodes[0]!)?.state, MoveState.TakenBack, JSON.stringify(readMove(nodes[0]!)));
        assert.match(readMove(nodes[0]!)?.reason ?? "", /failed on route/);
        assert.deepEqual([...statuses.keys()], [200]);
        const { revision } = nodes[0]!.configuration.readCurrent();
        assert.equal((await nodes[0]!.configuration.waitUntilInForce(revision, 30_000)).isInForce, true);
        const startsBefore = newRunners.reduce((sum, runner) => sum + runner.countPrefilledTokens(), 0);
        await Promise.all(Array.from({ length: 200 }, (_unused, index) => sendQuestion(nodes[index % 3]!, -index)));
        const startsAfter = newRunners.reduce((sum, runner) => sum + runner.countPrefilledTokens(), 0);
        assert.equal(startsAfter, startsBefore);
    });
});
