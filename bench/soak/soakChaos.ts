/**
 * @module Faults of the soak, drawn from its seed.
 */
import type { Random } from "../../src/base/createRandom";
import type { EmbeddedPlatform } from "../../src/dev/createEmbeddedPlatform";
import { VmRole } from "../../src/model/endpoint";
import type { CloudPort } from "../../src/ports/cloud";
import { FaultKind, type FaultRule } from "../../src/standins/fault";
import { addCount, type SoakLedger } from "./soakLedger";
import type { SoakNode } from "./soakNode";

/** What faults are made on. */
export interface ChaosOptions {
    readonly random: Random;
    readonly ledger: SoakLedger;
    readonly embedded: EmbeddedPlatform;
    readonly nodes: readonly SoakNode[];
    readonly cloud: CloudPort;
    readonly regions: readonly string[];
    readonly log: (line: string) => void;
}

const RESTART_MS = 1_500;
const LONGEST_PAUSE_MS = 15_000;
const PLATFORM_FAULT_MS = 6_000;
const RUNNER_FAULT_MS = 4_000;
const NOTICE_MS = 8_000;

type Fault = (options: ChaosOptions) => Promise<void>;

const FAULTS: Readonly<Record<string, Fault>> = {
    "kill a node": async options => {
        const node = pickOne(options, options.nodes);
        await node.stop("SIGKILL");
        await sleep(RESTART_MS);
        await node.start();
    },
    "drain a node": async options => {
        const node = pickOne(options, options.nodes);
        node.isServing = false;
        await node.stop("SIGTERM");
        await node.start();
    },
    "pause a node": async options => {
        const node = pickOne(options, options.nodes);
        node.isServing = false;
        node.signal("SIGSTOP");
        await sleep(1_000 + options.random.drawFraction() * LONGEST_PAUSE_MS);
        node.signal("SIGCONT");
        await sleep(RESTART_MS);
        node.isServing = true;
    },
    "platform down": options => injectPlatformFault(options, { kind: FaultKind.Down }),
    "platform slow": options => injectPlatformFault(options, { kind: FaultKind.Slow, delayMs: 800, share: 0.5 }),
    "platform answers lost after effect": options =>
        injectPlatformFault(options, { kind: FaultKind.AnswerLostAfterEffect, share: 0.4 }),
    "platform answers lost before effect": options =>
        injectPlatformFault(options, { kind: FaultKind.AnswerLostBeforeEffect, share: 0.4 }),
    "streams cut": options => injectModelRunnerFault(options, { kind: FaultKind.StreamCut, afterTokens: 10 }),
    "streams silent": options => injectModelRunnerFault(options, { kind: FaultKind.StreamSilent, afterTokens: 10 }),
    "connections silent": options => injectModelRunnerFault(options, { kind: FaultKind.ConnectionsSilent }),
    "answers crossed": options => injectModelRunnerFault(options, { kind: FaultKind.AnswerCrossed, share: 0.5 }),
    "application answers lost": options =>
        injectApplicationRunnerFault(options, { kind: FaultKind.AnswerLostAfterEffect, share: 0.7 }),
    "application calls lost": options =>
        injectApplicationRunnerFault(options, { kind: FaultKind.AnswerLostBeforeEffect, share: 0.7 }),
    "kill a model runner": async options => {
        const [vmId, runner] = pickOne(options, [...options.embedded.modelRunners]);
        runner.dispose();
        await sleep(RESTART_MS);
        options.embedded.platform.removeVm(vmId);
        await replaceRunner(options, pickOne(options, options.regions));
    },
    "reclaim a failure domain": async options => {
        const region = pickOne(options, options.regions);
        const vmIds = options.embedded.platform
            .listVmsNow()
            .filter(vm => vm.failureDomain === region && vm.role === VmRole.ModelRunner)
            .map(vm => vm.vmId);
        options.embedded.platform.reclaimVms(vmIds, NOTICE_MS);
        await sleep(NOTICE_MS + RESTART_MS);
        await Promise.all(vmIds.map(() => replaceRunner(options, region)));
    },
};

/**
 * Makes one fault after another until the time is over; two at once one time in three.
 *
 * @param options - What faults are made on
 * @param isOver - Ends it
 * @example
 * await makeFaults(options, () => performance.now() > endMs);
 */
export async function makeFaults(options: ChaosOptions, isOver: () => boolean): Promise<void> {
    const names = Object.keys(FAULTS);
    while (!isOver()) {
        const count = options.random.drawFraction() < 1 / 3 ? 2 : 1;
        const chosen = Array.from({ length: count }, () => pickOne(options, names));
        const distinct = [...new Set(chosen)];
        options.log(`fault: ${distinct.join(" + ")}`);
        await Promise.all(
            distinct.map(async name => {
                addCount(options.ledger.tried, name);
                await FAULTS[name]?.(options);
            }),
        );
        await sleep(500 + options.random.drawFraction() * 2_000);
    }
}

async function injectPlatformFault({ embedded }: ChaosOptions, rule: FaultRule): Promise<void> {
    embedded.platform.setFaults([rule]);
    await sleep(PLATFORM_FAULT_MS);
    embedded.platform.setFaults([]);
}

async function injectModelRunnerFault(options: ChaosOptions, rule: FaultRule): Promise<void> {
    const runner = pickOne(options, [...options.embedded.modelRunners.values()]);
    runner.setFaults([rule]);
    await sleep(RUNNER_FAULT_MS);
    runner.setFaults([]);
}

async function injectApplicationRunnerFault(options: ChaosOptions, rule: FaultRule): Promise<void> {
    const runner = pickOne(options, [...options.embedded.applicationRunners.values()]);
    runner.setFaults([rule]);
    await sleep(RUNNER_FAULT_MS);
    runner.setFaults([]);
}

async function replaceRunner(options: ChaosOptions, region: string): Promise<void> {
    await options.cloud.startVm({
        token: `soak-${options.random.drawInteger(1, 2 ** 30)}`,
        region,
        failureDomain: region,
        machineClass: "accelerator-2",
        isReclaimable: true,
        role: VmRole.ModelRunner,
        serviceName: "assistant",
        version: "v1",
    });
}

function pickOne<T>(options: ChaosOptions, items: readonly T[]): T {
    return items[options.random.drawInteger(0, items.length - 1)]!;
}

function sleep(delayMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, delayMs));
}
