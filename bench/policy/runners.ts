/**
 * @module The simulated model runners, over the engine model of the stand-ins.
 */
import type { EndpointLoad } from "../../src/model/endpoint";
import { type VmRecord, VmRole, VmState } from "../../src/model/endpoint";
import type { CacheEvent } from "../../src/ports/modelRunner";
import { createEngineState } from "../../src/standins/modelEngine/createEngineState";
import type { EngineState } from "../../src/standins/modelEngine/engineState";
import { measureEngineLoad } from "../../src/standins/modelEngine/measureEngineLoad";
import type { ClusterSize } from "./settings";
import { BLOCK_TOKENS } from "./workload";

const CACHE_EVENTS_KEPT = 1_000;

/** One simulated runner. */
export interface SimulatedRunner {
    readonly index: number;
    readonly vm: VmRecord;
    readonly engine: EngineState;
    isGone: boolean;
    /** Time of the engine's next event that is scheduled. */
    wakeAtMs: number;
    sample: Omit<EndpointLoad, "ageMs">;
    sampledAtMs: number;
    readonly cacheEvents: CacheEvent[];
    cacheSequence: number;
}

/**
 * Creates the runners of a cluster, spread over its failure domains; every other one is reclaimable.
 *
 * @param size - The cluster
 * @returns The runners
 * @example
 * const runners = createRunners(CLUSTER_SIZES[0]);
 */
export function createRunners(size: ClusterSize): readonly SimulatedRunner[] {
    return Array.from({ length: size.runners }, (_, index) => {
        const failureDomain = size.failureDomains[index % size.failureDomains.length] ?? "";
        const isReclaimable = Math.floor(index / size.failureDomains.length) % 2 === 0;
        const engine = createEngineState({ blockTokens: BLOCK_TOKENS });
        const vmId = `runner-${index}`;
        const vm: VmRecord = {
            vmId,
            role: VmRole.ModelRunner,
            address: "127.0.0.1",
            port: 0,
            state: VmState.Live,
            region: failureDomain,
            failureDomain,
            machineClass: "gpu",
            isReclaimable,
            serviceName: "assistant",
            version: "v1",
            incarnation: 1,
        };
        const sample = { endpointId: vmId, ...measureEngineLoad(engine) };
        const state = { isGone: false, wakeAtMs: Infinity, sample, sampledAtMs: 0, cacheSequence: 0 };
        return { index, vm, engine, ...state, cacheEvents: [] };
    });
}

/**
 * Records a cache event of a runner; only the newest are kept.
 *
 * @param runner - The runner
 * @param prefixHash - The prefix
 * @param isEvicted - Whether it left the cache
 * @example
 * recordCacheEvent(runner, output.prefixHash, false);
 */
export function recordCacheEvent(runner: SimulatedRunner, prefixHash: string, isEvicted: boolean): void {
    runner.cacheEvents.push({ sequence: runner.cacheSequence++, prefixHash, isEvicted });
    if (runner.cacheEvents.length > 2 * CACHE_EVENTS_KEPT) {
        runner.cacheEvents.splice(0, CACHE_EVENTS_KEPT);
    }
}
