import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { createInterface } from "node:readline";
import { describe, it } from "node:test";
import { sendHttpCall } from "../adapters/_lib/sendHttpCall";
import { createChat, readEvents } from "../adapters/contracts/_lib/generations";
import { waitUntil } from "../adapters/contracts/waitUntil";
import { createHttpCloud } from "../adapters/httpCloud/createHttpCloud";
import { createHttpModelRunner } from "../adapters/httpModelRunner/createHttpModelRunner";
import { createEndpoint } from "../adapters/contracts/createEndpoint";
import { createManualClock } from "../base/createManualClock";
import { VmRole, VmState } from "../model/endpoint";
import { RunnerOrderKind } from "../ports/modelRunner";
import { createFaultGate } from "./_lib/createFaultGate";
import { createModelRunnerStandin } from "./createModelRunnerStandin";
import { createStandinFleet, type FleetVm } from "./createStandinFleet";
import { FaultKind, type FaultRule } from "./fault";

const vm: FleetVm = {
    role: VmRole.ModelRunner,
    region: "hobart",
    failureDomain: "hobart-1",
    machineClass: "standard",
    isReclaimable: true,
    serviceName: "assistant",
    version: "v1",
};

describe("A fault rule strikes", () => {
    const createGate = () => {
        const clock = createManualClock();
        return { clock, gate: createFaultGate({ clock, seed: 3 }) };
    };
    it("only calls of its kind, route, version and failure domain", () => {
        const { gate } = createGate();
        gate.setRules([{ kind: FaultKind.Slow, route: "/a", version: "v2", failureDomain: "x" }]);
        const facts = { route: "/a/b", version: "v2", failureDomain: "x" };
        assert.ok(gate.strike(FaultKind.Slow, facts));
        assert.equal(gate.strike(FaultKind.Down, facts), undefined);
        assert.equal(gate.strike(FaultKind.Slow, { ...facts, route: "/b" }), undefined);
        assert.equal(gate.strike(FaultKind.Slow, { ...facts, version: "v1" }), undefined);
        assert.equal(gate.strike(FaultKind.Slow, { ...facts, failureDomain: "y" }), undefined);
    });
    it("as often as it says", () => {
        const { gate } = createGate();
        gate.setRules([{ kind: FaultKind.Slow, times: 2 }]);
        const strikes = [1, 2, 3].map(() => gate.strike(FaultKind.Slow) !== undefined);
        assert.deepEqual(strikes, [true, true, false]);
    });
    it("only after its time has come, and only under load", () => {
        const { clock, gate } = createGate();
        gate.setRules([{ kind: FaultKind.VersionFailing, afterMs: 100, minimumRunning: 3 }]);
        assert.equal(gate.strike(FaultKind.VersionFailing, { running: 3 }), undefined);
        clock.advanceMs(100);
        assert.equal(gate.strike(FaultKind.VersionFailing, { running: 2 }), undefined);
        assert.ok(gate.strike(FaultKind.VersionFailing, { running: 3 }));
    });
    it("its share of the calls, the same ones with the same seed", () => {
        const drawStrikes = () => {
            const { gate } = createGate();
            gate.setRules([{ kind: FaultKind.Slow, share: 0.3 }]);
            return Array.from({ length: 1_000 }, () => gate.strike(FaultKind.Slow) !== undefined);
        };
        const strikes = drawStrikes();
        const struck = strikes.filter(Boolean).length;
        assert.ok(struck > 250 && struck < 350);
        assert.deepEqual(drawStrikes(), strikes);
    });
});

describe("A fleet", () => {
    it("starts a runner for each VM that the cloud API starts, and disposes it when the VM goes", async context => {
        const fleet = await createStandinFleet({ vms: [vm], platform: { vmStartMs: 0, vmListLagMs: 0 } });
        const cloud = createHttpCloud(fleet.platform);
        context.after(() => [cloud, fleet].forEach(owned => owned.dispose()));
        const { vmId } = (await cloud.startVm({ ...vm, token: "t" }))._unsafeUnwrap();
        await waitUntil(() => fleet.platform.listVmsNow().length === 2, "the VM is live");
        assert.equal(fleet.modelRunners.size, 2);
        fleet.platform.setFaults([{ kind: FaultKind.ReclaimNotice, failureDomain: "hobart-1", delayMs: 50 }]);
        assert.ok(fleet.platform.listVmsNow().every(listed => listed.state === VmState.Leaving));
        await waitUntil(() => fleet.modelRunners.size === 0, `${vmId} and the first VM are gone`);
    });

    it("loads versions through the shared weight store, one after the other", async context => {
        const fleet = await createStandinFleet({
            vms: [vm, vm],
            platform: { weightBytes: 150, weightBytesPerSecond: 1_000 },
        });
        const runners = [...fleet.modelRunners.values()];
        const adapter = createHttpModelRunner();
        context.after(() => [adapter, fleet].forEach(owned => owned.dispose()));
        const order = { kind: RunnerOrderKind.LoadVersion, argument: "v2", epoch: 1, token: "t" };
        for (const runner of runners) {
            await adapter.sendOrder(createEndpoint(VmRole.ModelRunner, runner), order);
        }
        const countLoaded = () => runners.filter(runner => runner.readVersion() === "v2").length;
        assert.equal(countLoaded(), 0);
        await waitUntil(() => countLoaded() === 1, "the first runner has loaded");
        await waitUntil(() => countLoaded() === 2, "the second runner has loaded");
        assert.ok(fleet.platform.listVmsNow().every(listed => listed.version === "v2"));
    });

    it("takes fault rules over HTTP, and over the control port also while it is down", async context => {
        const { platform, dispose } = await createStandinFleet({ vms: [] });
        context.after(dispose);
        const control = { address: platform.address, port: platform.controlPort };
        const postFaults = (target: typeof control, faults: unknown) =>
            sendHttpCall(target, { method: "POST", path: "/faults", body: Buffer.from(JSON.stringify({ faults })) });
        assert.ok((await postFaults(platform, [{ kind: "slow" }])).isAnswered);
        assert.ok((await postFaults(control, [{ kind: "down" }])).isAnswered);
        assert.equal((await sendHttpCall(platform, { method: "GET", path: "/vms" })).isAnswered, false);
        assert.ok((await postFaults(control, [])).isAnswered);
        assert.ok((await sendHttpCall(platform, { method: "GET", path: "/vms" })).isAnswered);
        const wrong = await postFaults(control, [{ kind: "no such fault" }]);
        assert.equal(wrong.isAnswered && wrong.status, 400);
    });
});

describe("A slow version", () => {
    const measureGapMs = async (rule: FaultRule): Promise<number> => {
        const runner = await createModelRunnerStandin({ engine: { tokenGapMs: 1 }, version: "v2" });
        const adapter = createHttpModelRunner();
        runner.setFaults([rule]);
        const endpoint = createEndpoint(VmRole.ModelRunner, runner);
        const request = { id: { requestId: "r", attempt: 1 }, chat: createChat(6), priority: 0, resumedTexts: [] };
        const read = await readEvents(adapter.openGeneration(endpoint, request));
        const load = (await adapter.readLoad(endpoint))._unsafeUnwrap();
        adapter.dispose();
        runner.dispose();
        assert.ok(read.isFinished);
        return load.tokenGapMs;
    };
    it("widens its token gap, on its route and from its load on only", async () => {
        const kind = FaultKind.VersionSlow;
        assert.equal(await measureGapMs({ kind, version: "v2", delayMs: 30 }), 31);
        assert.equal(await measureGapMs({ kind, version: "v1", delayMs: 30 }), 1);
        assert.equal(await measureGapMs({ kind, minimumRunning: 2, delayMs: 30 }), 1);
        assert.equal(await measureGapMs({ kind, route: "/v1/chat", delayMs: 30 }), 31);
        assert.equal(await measureGapMs({ kind, route: "/v1/embeddings", delayMs: 30 }), 1);
    });
});

describe("redwinglift-standins", () => {
    it("prints its addresses as one line, serves, and ends on SIGTERM", async context => {
        const child = spawn(process.execPath, ["--import", "tsx", "src/standins/main.ts", "--model-runners", "0"], {
            stdio: ["ignore", "pipe", "inherit"],
        });
        context.after(() => child.kill("SIGKILL"));
        const [line] = (await new Promise(resolve => {
            createInterface(child.stdout).once("line", text => resolve([text]));
        })) as [string];
        const { platform } = JSON.parse(line) as { platform: { address: string; port: number } };
        assert.ok((await sendHttpCall(platform, { method: "GET", path: "/vms" })).isAnswered);
        const ended = new Promise(resolve => child.once("exit", resolve));
        child.kill("SIGTERM");
        assert.equal(await ended, 0);
    });
});
