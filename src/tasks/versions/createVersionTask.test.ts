import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import { MoveState } from "../../model/configuration";
import { createVersionTestHarness, type VersionTestHarness } from "./_testing/createVersionTestHarness";

const WINDOW_MS = 200_000;
let harness: VersionTestHarness;

beforeEach(() => {
    harness = createVersionTestHarness();
});

afterEach(() => {
    harness.dispose();
});

function serveOldVersion(): void {
    for (let index = 0; index < 50; index++) {
        harness.reportAttempt(index % 2 === 0 ? "node-1" : "node-2", "v1", false);
    }
}

function serveBothVersions(): void {
    serveOldVersion();
    for (let index = 0; index < 10; index++) {
        harness.reportAttempt(index % 2 === 0 ? "node-1" : "node-2", "v2", false);
    }
}

// A brake lasts as long as its move is active; after a rollback, the recorded state keeps traffic away.
function isWithoutTraffic(nodeId: string): boolean {
    const isTakenBack = harness.readMove().state === MoveState.TakenBack;
    return isTakenBack || harness.tasks[nodeId]!.isBraked("assistant", "v2");
}

function findHolder(): string {
    const holder = Object.entries(harness.tasks).find(([, task]) => {
        const { held } = task.dumpState() as { held: readonly string[] };
        return held.length > 0;
    });
    return holder?.[0] ?? "";
}

describe("a good version", () => {
    it("completes its move before the deadline and becomes the service's version", async () => {
        harness.beginMove(WINDOW_MS);
        await harness.runSeconds(WINDOW_MS / 1_000, serveBothVersions);
        assert.equal(harness.readMove().state, MoveState.Done, harness.readMove().reason);
        assert.equal(harness.readConfiguration().services["assistant"]?.version, "v2");
    });

    it("completes its move before the deadline even if the lease holder crashes on the way", async () => {
        harness.beginMove(WINDOW_MS);
        await harness.runSeconds(40, serveBothVersions);
        const holder = findHolder();
        assert.notEqual(holder, "");
        harness.crashNode(holder);
        await harness.runSeconds(WINDOW_MS / 1_000 - 40, serveBothVersions);
        assert.equal(harness.readMove().state, MoveState.Done, harness.readMove().reason);
    });
});

describe("a faulty version", () => {
    it("is braked on the node that found the fault, then on the other, and is rolled back for good", async () => {
        harness.beginMove(WINDOW_MS);
        await harness.runSeconds(5, serveOldVersion);
        assert.equal(harness.tasks["node-2"]!.isBraked("assistant", "v2"), false);
        for (let index = 0; index < 4; index++) {
            harness.reportAttempt("node-1", "v2", true);
        }
        await harness.runSeconds(1);
        assert.deepEqual(["node-1", "node-2"].map(isWithoutTraffic), [true, true]);
        assert.equal(harness.tasks["node-2"]!.isBraked("assistant", "v1"), false);
        await harness.runSeconds(3);
        assert.equal(harness.readMove().state, MoveState.TakenBack);
        assert.match(harness.readMove().reason, /failed on route chat.*seen by node-1/);
        assert.equal(harness.readMove().share, 0);
    });

    it("is braked while the store is unavailable, and rolled back once it is available again", async () => {
        harness.beginMove(WINDOW_MS);
        await harness.runSeconds(5, serveOldVersion);
        harness.isStoreUp = false;
        for (let index = 0; index < 4; index++) {
            harness.reportAttempt("node-2", "v2", true);
        }
        await harness.runSeconds(10);
        assert.equal(harness.tasks["node-1"]!.isBraked("assistant", "v2"), true);
        assert.equal(harness.readMove().state, MoveState.Moving);
        harness.isStoreUp = true;
        await harness.runSeconds(5);
        assert.equal(harness.readMove().state, MoveState.TakenBack);
    });

    it("is not assumed after a single failed attempt", async () => {
        harness.beginMove(WINDOW_MS);
        await harness.runSeconds(5, serveBothVersions);
        harness.reportAttempt("node-1", "v2", true);
        await harness.runSeconds(1);
        assert.equal(harness.tasks["node-1"]!.isBraked("assistant", "v2"), false);
    });
});

describe("a move past its deadline", () => {
    it("counts as rolled back on every node while the store is unavailable, and is recorded later", async () => {
        harness.beginMove(60_000);
        await harness.runSeconds(20, serveBothVersions);
        harness.isStoreUp = false;
        await harness.runSeconds(41);
        assert.equal(harness.tasks["node-1"]!.isBraked("assistant", "v2"), true);
        assert.equal(harness.tasks["node-2"]!.isBraked("assistant", "v2"), true);
        harness.isStoreUp = true;
        await harness.runSeconds(5);
        assert.equal(harness.readMove().state, MoveState.TakenBack);
        assert.equal(harness.readConfiguration().services["assistant"]?.version, "v1");
    });
});
