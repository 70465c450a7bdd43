import assert from "node:assert/strict";
import { afterEach, beforeEach, describe, it } from "node:test";
import { MoveState } from "../../model/configuration";
import { createVersionWorld, type VersionWorld } from "./_testing/createVersionWorld";

const WINDOW_MS = 200_000;
let world: VersionWorld;

beforeEach(() => {
    world = createVersionWorld();
});

afterEach(() => {
    world.dispose();
});

function serveOldVersion(): void {
    for (let index = 0; index < 50; index++) {
        world.reportAttempt(index % 2 === 0 ? "node-1" : "node-2", "v1", false);
    }
}

function serveBothVersions(): void {
    serveOldVersion();
    for (let index = 0; index < 10; index++) {
        world.reportAttempt(index % 2 === 0 ? "node-1" : "node-2", "v2", false);
    }
}

// A brake ends with the move that it belongs to; from then on the recorded end keeps traffic away.
function isWithoutTraffic(nodeId: string): boolean {
    const isTakenBack = world.readMove().state === MoveState.TakenBack;
    return isTakenBack || world.tasks[nodeId]!.isBraked("assistant", "v2");
}

function findHolder(): string {
    const holder = Object.entries(world.tasks).find(([, task]) => {
        const { held } = task.dumpState() as { held: readonly string[] };
        return held.length > 0;
    });
    return holder?.[0] ?? "";
}

describe("a good version", () => {
    it("is done in time and becomes the service's version", async () => {
        world.beginMove(WINDOW_MS);
        await world.runSeconds(WINDOW_MS / 1_000, serveBothVersions);
        assert.equal(world.readMove().state, MoveState.Done, world.readMove().reason);
        assert.equal(world.readConfiguration().services["assistant"]?.version, "v2");
    });

    it("is done in time also when the holder is killed on the way", async () => {
        world.beginMove(WINDOW_MS);
        await world.runSeconds(40, serveBothVersions);
        const holder = findHolder();
        assert.notEqual(holder, "");
        world.killNode(holder);
        await world.runSeconds(WINDOW_MS / 1_000 - 40, serveBothVersions);
        assert.equal(world.readMove().state, MoveState.Done, world.readMove().reason);
    });
});

describe("a bad version", () => {
    it("is braked on the node that saw it, then everywhere, and taken back for good", async () => {
        world.beginMove(WINDOW_MS);
        await world.runSeconds(5, serveOldVersion);
        assert.equal(world.tasks["node-2"]!.isBraked("assistant", "v2"), false);
        for (let index = 0; index < 4; index++) {
            world.reportAttempt("node-1", "v2", true);
        }
        await world.runSeconds(1);
        assert.deepEqual(["node-1", "node-2"].map(isWithoutTraffic), [true, true]);
        assert.equal(world.tasks["node-2"]!.isBraked("assistant", "v1"), false);
        await world.runSeconds(3);
        assert.equal(world.readMove().state, MoveState.TakenBack);
        assert.match(world.readMove().reason, /failed on route chat.*seen by node-1/);
        assert.equal(world.readMove().share, 0);
    });

    it("is braked without the store, and taken back once it is there again", async () => {
        world.beginMove(WINDOW_MS);
        await world.runSeconds(5, serveOldVersion);
        world.isStoreUp = false;
        for (let index = 0; index < 4; index++) {
            world.reportAttempt("node-2", "v2", true);
        }
        await world.runSeconds(10);
        assert.equal(world.tasks["node-1"]!.isBraked("assistant", "v2"), true);
        assert.equal(world.readMove().state, MoveState.Moving);
        world.isStoreUp = true;
        await world.runSeconds(5);
        assert.equal(world.readMove().state, MoveState.TakenBack);
    });

    it("is told from one endpoint that dies with many requests in progress", async () => {
        world.beginMove(WINDOW_MS);
        await world.runSeconds(5, serveBothVersions);
        world.reportAttempt("node-1", "v2", true);
        await world.runSeconds(1);
        assert.equal(world.tasks["node-1"]!.isBraked("assistant", "v2"), false);
    });
});

describe("a move past its time", () => {
    it("counts as taken back on every node while the store is away, and is recorded later", async () => {
        world.beginMove(60_000);
        await world.runSeconds(20, serveBothVersions);
        world.isStoreUp = false;
        await world.runSeconds(41);
        assert.equal(world.tasks["node-1"]!.isBraked("assistant", "v2"), true);
        assert.equal(world.tasks["node-2"]!.isBraked("assistant", "v2"), true);
        world.isStoreUp = true;
        await world.runSeconds(5);
        assert.equal(world.readMove().state, MoveState.TakenBack);
        assert.equal(world.readConfiguration().services["assistant"]?.version, "v1");
    });
});
