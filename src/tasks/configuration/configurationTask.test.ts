import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { err, ok, type Result } from "neverthrow";
import { createManualClock } from "../../base/createManualClock";
import { createRandom } from "../../base/createRandom";
import { createFailure } from "../../base/createFailure";
import { type Failure, FailureKind } from "../../base/failure";
import { type AcceptedChange, type Configuration, ItemKind, ServiceKind } from "../../model/configuration";
import { createFakeTable, type FakeTableClient, TableFault } from "../../nodes/_testing/createFakeTable";
import { createSimulation, type Simulation, type SimulatedNode } from "../../nodes/_testing/createSimulation";
import { runClock, runUntilSettled } from "../../nodes/_testing/runClock";
import { type ConfigurationTask, createConfigurationTask } from "./createConfigurationTask";

const setService = (name: string, version: string) => ({
    kind: ItemKind.Service as const,
    name,
    value: { name, kind: ServiceKind.Model, version },
});
const validate = (configuration: Configuration) =>
    configuration.services["bad"] === undefined
        ? ok(undefined)
        : err(createFailure(FailureKind.InvalidConfiguration, "bad"));

function createPair() {
    const clock = createManualClock();
    const table = createFakeTable();
    const create = (nodeId: string, seed: number) => {
        const client = table.createClient(clock);
        const random = createRandom(seed);
        return { client, task: createConfigurationTask({ nodeId, table: client, clock, random, validate }) };
    };
    const [left, right] = [create("left", 1), create("right", 2)];
    const commit = (task: ConfigurationTask, version: string, basedOnRevision = task.readCurrent().revision) =>
        runUntilSettled(clock, task.commitChange({ basedOnRevision, items: [setService("chat", version)] }));
    return { clock, table, left, right, create, commit };
}

describe("the configuration in the table", () => {
    it("is loaded at startup and reaches another node by polling", async () => {
        const { clock, left, right, commit } = createPair();
        await runUntilSettled(clock, Promise.all([left.task.whenReady, right.task.whenReady]));
        assert.equal((await commit(left.task, "v1"))._unsafeUnwrap().revision, 1);
        await runClock(clock, 6_000);
        assert.deepEqual(right.task.readCurrent(), left.task.readCurrent());
    });

    it("is validated as a whole before a change is committed", async () => {
        const { clock, table, left } = createPair();
        const refused = await runUntilSettled(
            clock,
            left.task.commitChange({ basedOnRevision: 0, items: [setService("bad", "v1")] }),
        );
        assert.equal(refused._unsafeUnwrapErr().kind, FailureKind.InvalidConfiguration);
        assert.equal(table.rows.size, 0);
    });

    // Guards against a node that polls and commits no more because one part threw at a change.
    it("goes on being applied and committed after a part has thrown at a change", async () => {
        const { clock, left, right, commit } = createPair();
        right.task.subscribeApplied(() => {
            throw new Error("a part failed");
        });
        const heard: number[] = [];
        right.task.subscribeApplied(configuration => heard.push(configuration.revision));
        assert.equal((await commit(left.task, "v1")).isOk(), true);
        await runClock(clock, 12_000);
        assert.equal((await commit(left.task, "v2")).isOk(), true);
        await runClock(clock, 12_000);
        assert.deepEqual(heard, [1, 2]);
    });

    it("accepts exactly one of two concurrent changes and shows the current items to the other author", async () => {
        const { clock, left, right } = createPair();
        left.client.setDelay(30);
        right.client.setDelay(20);
        const race = [left, right].map(({ task }, index) =>
            task.commitChange({ basedOnRevision: 0, items: [setService("chat", `v${index}`)] }),
        );
        const results = await runUntilSettled(clock, Promise.all(race));
        const [succeeded, failed] = [results.filter(result => result.isOk()), results.filter(result => result.isErr())];
        assert.deepEqual([succeeded.length, failed.length], [1, 1]);
        const failure = failed[0]!._unsafeUnwrapErr();
        assert.equal(failure.kind, FailureKind.RevisionConflict);
        assert.equal(failure.details?.["revision"], 1);
        const items = failure.details?.["items"] as readonly ReturnType<typeof setService>[];
        assert.equal(items[0]?.value.version, "v1");
    });

    const faultCases: readonly { fault: TableFault; kinds: readonly (FailureKind | "accepted")[] }[] = [
        { fault: TableFault.Down, kinds: [FailureKind.StoreUnavailable] },
        { fault: TableFault.Silent, kinds: [FailureKind.StoreUnavailable] },
        { fault: TableFault.AnswerLostAfterEffect, kinds: ["accepted"] },
        { fault: TableFault.AnswerLostBeforeEffect, kinds: ["accepted"] },
    ];
    for (const { fault, kinds } of faultCases) {
        it(`reports the true outcome of a commit under the store fault ${fault}`, async () => {
            const { clock, table, left, commit } = createPair();
            await runUntilSettled(clock, left.task.whenReady);
            left.client.setFault(fault);
            const result: Result<AcceptedChange, Failure> = await commit(left.task, "v1");
            const outcome = result.isOk() ? "accepted" : result.error.kind;
            assert.ok(kinds.includes(outcome), outcome);
            left.client.setFault(TableFault.None);
            await runClock(clock, 10_000);
            assert.equal(left.task.readCurrent().revision, result.isOk() ? 1 : 0);
            assert.equal(table.rows.has("config/change/000000000001"), result.isOk());
        });
    }

    it("keeps its revision when the store returns an older one", async () => {
        const { clock, table, left, commit } = createPair();
        await commit(left.task, "v1");
        await commit(left.task, "v2");
        table.writeRow("config/head", JSON.stringify({ revision: 1 }));
        await runClock(clock, 12_000);
        assert.equal(left.task.readCurrent().revision, 2);
    });

    it("is read in full by a node that needs changes which are no longer retained", async () => {
        const { clock, table, left, right, commit } = createPair();
        await runUntilSettled(clock, right.task.whenReady);
        await commit(left.task, "v1");
        await runClock(clock, 6_000);
        right.client.setFault(TableFault.Down);
        for (let version = 2; version <= 6; version++) {
            await commit(left.task, `v${version}`);
        }
        const trimmingClient = table.createClient(clock);
        const writes = ["2", "3"].map(revision => ({ key: `config/change/00000000000${revision}`, value: undefined }));
        await trimmingClient.commitTransaction({ token: "trim", conditions: [], writes });
        right.client.setFault(TableFault.None);
        await runClock(clock, 12_000);
        assert.deepEqual(right.task.readCurrent(), left.task.readCurrent());
    });

    it("is loaded at exactly one revision while items change during the load", async () => {
        const { clock, table, left, create, commit } = createPair();
        for (let version = 1; version <= 3; version++) {
            await commit(left.task, `v${version}`);
        }
        const lateNode = create("late", 9);
        lateNode.client.setDelay(200);
        for (let version = 4; version <= 8; version++) {
            await commit(left.task, `v${version}`);
        }
        await runUntilSettled(clock, lateNode.task.whenReady);
        await runClock(clock, 8_000);
        assert.deepEqual(lateNode.task.readCurrent(), left.task.readCurrent());
        assert.equal(table.rows.get("config/item/service/chat")?.value.includes("v8"), true);
    });
});

interface ConfiguredNode extends SimulatedNode {
    readonly configuration: ConfigurationTask;
    readonly table: FakeTableClient;
}

let simulation: Simulation | undefined;
afterEach(() => {
    simulation?.dispose();
    simulation = undefined;
});

function createNodes(nodeCount: number, fault = TableFault.None) {
    const simulated = createSimulation({ nodeCount });
    simulation = simulated;
    const table = createFakeTable();
    const configure = (node: SimulatedNode): ConfiguredNode => {
        const client = table.createClient(node.host.clock);
        client.setFault(fault);
        const { nodeId, membership } = node;
        const random = createRandom(simulated.nodes.length + nodeId.length);
        const options = { nodeId, table: client, clock: node.host.clock, random, validate, exchange: membership };
        return { ...node, table: client, configuration: createConfigurationTask(options) };
    };
    const nodes = simulated.nodes.map(configure);
    const commit = async (node: ConfiguredNode, version: string) => {
        let result: Result<AcceptedChange, Failure> | undefined;
        const basedOnRevision = node.configuration.readCurrent().revision;
        void node.configuration
            .commitChange({ basedOnRevision, items: [setService("chat", version)] })
            .then(settled => (result = settled));
        await simulated.runUntil(() => result !== undefined, 30_000);
        return result!;
    };
    return { simulated, nodes, table, commit, configure };
}

const haveAllApplied = (nodes: readonly ConfiguredNode[], revision: number) =>
    nodes.every(node => node.configuration.readCurrent().revision >= revision);

describe("the configuration on many nodes", () => {
    it("is applied by all nodes within 2 s of the commit, and any node can confirm that", async () => {
        const { simulated, nodes, commit } = createNodes(18);
        await simulated.runFor(10_000);
        await commit(nodes[4]!, "v1");
        assert.ok((await simulated.runUntil(() => haveAllApplied(nodes, 1), 2_000)) !== undefined);
        let isInForce = false;
        void nodes[11]!.configuration.waitUntilInForce(1, 10_000).then(report => (isInForce = report.isInForce));
        assert.ok((await simulated.runUntil(() => isInForce, 10_000)) !== undefined);
    });

    it("reaches nodes without access to the store, and is reported as missing on a paused node", async () => {
        const { simulated, nodes, commit } = createNodes(12);
        await simulated.runFor(10_000);
        nodes.slice(6).forEach(node => node.table.setFault(TableFault.Silent));
        await commit(nodes[0]!, "v1");
        assert.ok((await simulated.runUntil(() => haveAllApplied(nodes, 1), 5_000)) !== undefined);

        simulated.network.pauseHost("node-9");
        let outdatedNodeIds: readonly string[] | undefined;
        await commit(nodes[0]!, "v2");
        void nodes[0]!.configuration
            .waitUntilInForce(2, 4_000)
            .then(report => (outdatedNodeIds = report.lacking.map(node => node.nodeId)));
        await simulated.runUntil(() => outdatedNodeIds !== undefined, 6_000);
        assert.deepEqual(outdatedNodeIds, ["node-9"]);
        simulated.network.resumeHost("node-9");
        assert.ok(
            (await simulated.runUntil(() => haveAllApplied(nodes, 2), 10_000)) !== undefined,
            "the resumed node has not applied revision 2",
        );
    });

    it("reaches other nodes by polling when the committing node fails before it pushes the change", async () => {
        const { simulated, nodes, commit } = createNodes(9);
        await simulated.runFor(10_000);
        simulated.network.removeHost("node-3");
        assert.ok((await commit(nodes[3]!, "v1")).isOk());
        const others = nodes.filter(node => node.nodeId !== "node-3");
        assert.ok((await simulated.runUntil(() => haveAllApplied(others, 1), 6_000)) !== undefined);
    });

    it("is loaded by a new node from nodes of several failure domains while the store is unavailable", async () => {
        const { simulated, nodes, commit, configure } = createNodes(9);
        await simulated.runFor(10_000);
        await commit(nodes[0]!, "v1");
        await commit(nodes[1]!, "v2");
        await simulated.runFor(3_000);
        nodes.forEach(node => node.table.setFault(TableFault.Down));
        const lateNode = configure(
            simulated.addNode("node-late", { region: "region-0", failureDomain: "region-0-domain-0" }),
        );
        lateNode.table.setFault(TableFault.Down);
        assert.equal(lateNode.configuration.isReady(), false);
        assert.ok((await simulated.runUntil(() => lateNode.configuration.isReady(), 20_000)) !== undefined);
        assert.deepEqual(lateNode.configuration.readCurrent(), nodes[0]!.configuration.readCurrent());
    });

    it("is not ready on a node that reaches neither the store nor several failure domains", async () => {
        const { simulated, nodes } = createNodes(1, TableFault.Down);
        await simulated.runFor(30_000);
        assert.equal(nodes[0]!.configuration.isReady(), false);
    });

    it("is applied only on the committing side of a region partition, and everywhere once it heals", async () => {
        const { simulated, nodes, commit } = createNodes(12);
        await simulated.runFor(10_000);
        const isPartitioned = (nodeId: string) =>
            simulated.nodes.some(node => node.nodeId === nodeId && node.place.region === "region-1");
        simulated.network.setPartition((from, to) => isPartitioned(from) !== isPartitioned(to));
        nodes.filter(node => isPartitioned(node.nodeId)).forEach(node => node.table.setFault(TableFault.Silent));
        await commit(nodes[0]!, "v1");
        await simulated.runFor(60_000);
        assert.ok(
            haveAllApplied(
                nodes.filter(node => !isPartitioned(node.nodeId)),
                1,
            ),
        );
        assert.ok(
            nodes
                .filter(node => isPartitioned(node.nodeId))
                .every(node => node.configuration.readCurrent().revision === 0),
        );
        simulated.network.setPartition(() => false);
        assert.ok((await simulated.runUntil(() => haveAllApplied(nodes, 1), 30_000)) !== undefined);
    });

    it("never goes back and converges under concurrent commits, outages, packet loss and pauses", async () => {
        for (const seed of [1, 2, 3]) {
            await runRandomly(seed);
        }
    });
});

async function runRandomly(seed: number): Promise<void> {
    const { simulated, nodes } = createNodes(8);
    const random = createRandom(seed);
    await simulated.runFor(5_000);
    const appliedRevisions = nodes.map(() => 0);
    const accepted = new Map<number, string>();
    nodes.forEach((node, index) =>
        node.configuration.subscribeApplied(({ revision }) => {
            assert.ok(revision > appliedRevisions[index]!, `seed ${seed}: ${appliedRevisions[index]} -> ${revision}`);
            appliedRevisions[index] = revision;
        }),
    );
    simulated.network.setLoss(0.05);
    const faults = Object.values(TableFault);
    for (let round = 0; round < 40; round++) {
        const node = nodes[random.drawInteger(0, nodes.length - 1)]!;
        node.table.setFault(random.drawFraction() < 0.6 ? TableFault.None : faults[random.drawInteger(0, 4)]!);
        node.table.setDelay(random.drawInteger(0, 300));
        if (random.drawFraction() < 0.2) {
            simulated.network.pauseHost(node.nodeId);
        } else {
            simulated.network.resumeHost(node.nodeId);
        }
        const basedOnRevision = node.configuration.readCurrent().revision;
        const version = `${seed}-${round}`;
        void node.configuration.commitChange({ basedOnRevision, items: [setService("chat", version)] }).then(result =>
            result.map(change => {
                assert.ok(!accepted.has(change.revision), `seed ${seed}: revision ${change.revision} accepted twice`);
                return accepted.set(change.revision, version);
            }),
        );
        await simulated.runFor(random.drawInteger(100, 1_500));
    }
    simulated.network.setLoss(0);
    nodes.forEach(node => {
        simulated.network.resumeHost(node.nodeId);
        node.table.setFault(TableFault.None);
        node.table.setDelay(0);
    });
    await simulated.runFor(40_000);
    const [first, ...others] = nodes.map(node => node.configuration.readCurrent());
    others.forEach(other => assert.deepEqual(other, first, `seed ${seed}: the nodes have not converged`));
    assert.ok(accepted.size > 3 && Math.max(...accepted.keys()) <= first!.revision);
    assert.deepEqual(simulated.failures, []);
    simulated.dispose();
}
