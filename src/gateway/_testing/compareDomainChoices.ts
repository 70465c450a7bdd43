/**
 * @module Compares the constant penalty for the distance with spillover, on the same demand and the same paces.
 */
import type { Random } from "../../base/random";
import {
    type FailureDomainResult,
    type FailureDomainSimulation,
    simulateFailureDomains,
} from "./simulateFailureDomains";

const USUAL_PACE = { drawPace: () => ({ pace: 100, forMs: 1e9 }), averagePace: 100 };
const SLOWER_SHARE = 1.5;
const CHANGE_MS = 150;
/** A pace that changes about seven times a second; every fourth endpoint is slower on average. */
export const UNEVEN_PACE = {
    drawPace: (random: Random, endpoint: number) => {
        const fraction = random.drawFraction();
        const pace = fraction < 0.7 ? 80 : fraction < 0.9 ? 160 : 320;
        return {
            pace: (endpoint % 4 === 0 ? SLOWER_SHARE : 1) * pace,
            forMs: -Math.log(1 - random.drawFraction()) * CHANGE_MS,
        };
    },
    averagePace: 120 * (0.75 + 0.25 * SLOWER_SHARE),
};

/** Two of the eleven endpoints of the first failure domain are reclaimed. */
export function isReclaimedFifth(domain: number, index: number, nowMs: number): boolean {
    return domain === 0 && index < 2 && nowMs > 3_000;
}

/** The callers of the first failure domain ask for more for 4 s. */
export function readSurge(domain: number, nowMs: number): number {
    return domain === 0 && nowMs >= 3_000 && nowMs < 7_000 ? 1.6 : 0.6;
}

/** Simulates both choices, and prints their figures by `print`. */
export function compareDomainChoices(
    options: Pick<FailureDomainSimulation, "readDemand"> & Partial<FailureDomainSimulation>,
    print: (line: string) => void,
): { readonly penalty: FailureDomainResult; readonly spillover: FailureDomainResult } {
    const simulate = (hasSpillover: boolean) => {
        const result = simulateFailureDomains({
            seed: 7,
            durationMs: 10_000,
            objectiveMs: 800,
            isReclaimed: () => false,
            ...USUAL_PACE,
            ...options,
            hasSpillover,
        });
        print(`${hasSpillover ? "spillover" : "penalty"}: ${describeResult(result)}`);
        return result;
    };
    return { penalty: simulate(false), spillover: simulate(true) };
}

function describeResult(result: FailureDomainResult): string {
    return [
        `${result.onTimeShare.toFixed(4)} on time`,
        `${(result.bytesBetweenDomains / 1e6).toFixed(0)} MB between domains`,
        `${(result.bytesBetweenRegions / 1e6).toFixed(0)} MB of them between regions`,
        `${(result.needlessShare * 100).toFixed(1)} % left while own slots were free`,
    ].join(", ");
}
