/**
 * @module The two deployments and what each weighs.
 */
import { CLUSTER_SIZES, type ClusterSize } from "../policy/settings";

/** Weights of the four measures; only their ratio counts. */
export interface MeasureWeights {
    readonly cost: number;
    readonly recomputed: number;
    readonly goodDone: number;
    readonly badTakenBack: number;
}

/** A deployment to measure. */
export interface Deployment {
    readonly name: string;
    readonly size: ClusterSize;
    readonly weights: MeasureWeights;
    /** Requests a second while a version moves. */
    readonly moveRequestsPerSecond: number;
    /** Model runners of the failure domain that is reclaimed. */
    readonly leavingRunners: number;
    readonly survivors: number;
}

/** The deployments. The users gave the order of the weights, not their size: the heavier pair counts one and a half. */
export const DEPLOYMENTS: readonly Deployment[] = [
    {
        name: "Derwent",
        size: findSize("derwent"),
        weights: { cost: 0.2, recomputed: 0.2, goodDone: 0.3, badTakenBack: 0.3 },
        moveRequestsPerSecond: 12,
        leavingRunners: 2,
        survivors: 4,
    },
    {
        name: "Latexboek",
        size: findSize("latexboek"),
        weights: { cost: 0.3, recomputed: 0.3, goodDone: 0.2, badTakenBack: 0.2 },
        moveRequestsPerSecond: 30,
        leavingRunners: 4,
        survivors: 9,
    },
];

function findSize(name: string): ClusterSize {
    return CLUSTER_SIZES.find(size => size.name === name)!;
}
