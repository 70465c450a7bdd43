/**
 * @module Tokens computed again when one failure domain is reclaimed, by notice.
 */
import { measureReclaimWave } from "../outcomes/measureReclaimWave";
import type { Deployment } from "./deployments";

const NOTICES_MS = [5_000, 10_000, 30_000];
const SEEDS = 10;

/** Means over the seeds, in tokens. */
export interface WaveFigures {
    readonly noticeMs: number;
    readonly planned: number;
    readonly plannedWithoutExport: number;
    /** Streams go on until their runner is gone, then are prefilled elsewhere. */
    readonly alwaysFinish: number;
    /** Streams are prefilled elsewhere at the notice. */
    readonly alwaysPrefill: number;
    readonly transferAtOnce: number;
    /** Streams that the plan ended early. */
    readonly shed: number;
}

/**
 * Measures waves of several notices.
 *
 * @param deployment - Runners and nodes
 * @param seed - First of ten seeds
 * @returns Figures by notice
 * @example
 * measureWaves(DEPLOYMENTS[0], 1);
 */
export function measureWaves(deployment: Deployment, seed: number): readonly WaveFigures[] {
    return NOTICES_MS.map(noticeMs => {
        const scene = {
            name: deployment.name,
            leavingRunners: deployment.leavingRunners,
            survivors: deployment.survivors,
            sharingNodes: deployment.size.nodes,
            noticeMs,
        };
        const results = Array.from({ length: SEEDS }, (_unused, index) => measureReclaimWave(scene, seed + index));
        const average = (pick: (result: (typeof results)[number]) => number) =>
            results.reduce((sum, result) => sum + pick(result), 0) / SEEDS;
        return {
            noticeMs,
            planned: average(result => result.planned),
            plannedWithoutExport: average(result => result.plannedWithoutExport),
            alwaysFinish: average(result => result.alwaysFinish),
            alwaysPrefill: average(result => result.alwaysPrefill),
            transferAtOnce: average(result => result.transferAtOnce),
            shed: average(result => result.shed),
        };
    });
}
