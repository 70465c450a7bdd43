/**
 * @module The baselines: no admission, and a choice by turn or by reported load.
 */
import { createRandom, type Random } from "../../src/base/createRandom";
import { VmState } from "../../src/model/endpoint";
import type { Policy, PolicyNode } from "./policy";

type Choose = (vmIds: readonly string[], loads: ReadonlyMap<string, number>, random: Random) => string | undefined;

/** Round robin, least reported load, and the less loaded of two drawn at random. */
export const BASELINES: readonly Policy[] = [
    createBaseline("round robin", () => {
        let turn = -1;
        return (vmIds, loads, random) => {
            turn = turn < 0 ? random.drawInteger(0, vmIds.length) : turn + 1;
            return vmIds[turn % vmIds.length];
        };
    }),
    createBaseline("least reported load", () => (vmIds, loads, random) => {
        const readLoad = (vmId: string) => loads.get(vmId) ?? 0;
        const least = Math.min(...vmIds.map(readLoad));
        const equal = vmIds.filter(vmId => readLoad(vmId) === least);
        return equal[random.drawInteger(0, equal.length - 1)];
    }),
    createBaseline("two random choices", () => (vmIds, loads, random) => {
        const first = vmIds[random.drawInteger(0, vmIds.length - 1)] ?? "";
        const second = vmIds[random.drawInteger(0, vmIds.length - 1)] ?? "";
        return (loads.get(first) ?? 0) <= (loads.get(second) ?? 0) ? first : second;
    }),
];

function createBaseline(name: string, createChoice: () => Choose): Policy {
    return {
        name,
        createNode: (world): PolicyNode => {
            const random = createRandom(world.seed);
            const chooseFrom = createChoice();
            const loads = new Map<string, number>();
            let live: readonly string[] = [];
            return {
                arrive: request => world.start(request),
                choose: () => (live.length === 0 ? undefined : chooseFrom(live, loads, random)),
                recordFirstToken: () => undefined,
                recordEnded: () => undefined,
                finish: () => undefined,
                tick: () => undefined,
                applyLoad: (vmId, load) => void loads.set(vmId, load.running + load.waiting),
                applyCacheEvents: () => undefined,
                applyVms: vms => {
                    live = vms.filter(vm => vm.state === VmState.Live).map(vm => vm.vmId);
                },
                applyDigest: () => undefined,
                listPolled: () => live,
            };
        },
    };
}
