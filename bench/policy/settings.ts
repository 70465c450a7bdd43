/**
 * @module Sizes and loads that the simulation covers.
 */

/** One cluster. Each failure domain is a region of its own, as at both users. */
export interface ClusterSize {
    readonly name: string;
    readonly failureDomains: readonly string[];
    readonly runners: number;
    readonly nodes: number;
    /** Simulated time before the measurement begins; at size reports come rarely and slots are learned slowly. */
    readonly warmUpMs: number;
    /** Simulated time that is measured after that. */
    readonly measuredMs: number;
}

/** One run. */
export interface Scenario {
    readonly name: string;
    /** Arriving work as a multiple of the capacity. */
    readonly load: number;
    /** Whether the first failure domain is reclaimed in the middle. */
    readonly hasWave: boolean;
}

/** Warm-up at the users' sizes, and at 20 times those. */
export const WARM_UP_MS = 6_000;
export const LARGE_WARM_UP_MS = 20_000;
/** Time between the reclaim notice and the loss of the VMs. */
export const NOTICE_MS = 5_000;
/** How long a node takes to learn of a notice, at most. */
export const NOTICE_LAG_MS = 800;
/** Time between two samples that an engine takes of its load. */
export const LOAD_SAMPLE_MS = 250;
/** Cost of a reclaimable and of an on-demand VM in millionths an hour. */
export const RECLAIMABLE_MICROS_PER_HOUR = 900_000;
export const ON_DEMAND_MICROS_PER_HOUR = 2_500_000;

const DERWENT_DOMAINS = ["hobart", "launceston", "burnie"];
const LATEXBOEK_DOMAINS = ["eu-west", "eu-central", "eu-north"];

/** The users' sizes and 20 times those. */
export const CLUSTER_SIZES: readonly ClusterSize[] = [
    {
        name: "derwent",
        failureDomains: DERWENT_DOMAINS,
        runners: 6,
        nodes: 7,
        warmUpMs: WARM_UP_MS,
        measuredMs: 40_000,
    },
    {
        name: "latexboek",
        failureDomains: LATEXBOEK_DOMAINS,
        runners: 13,
        nodes: 7,
        warmUpMs: WARM_UP_MS,
        measuredMs: 40_000,
    },
    {
        name: "derwent-x20",
        failureDomains: DERWENT_DOMAINS,
        runners: 120,
        nodes: 140,
        warmUpMs: LARGE_WARM_UP_MS,
        measuredMs: 6_000,
    },
    {
        name: "latexboek-x20",
        failureDomains: LATEXBOEK_DOMAINS,
        runners: 260,
        nodes: 140,
        warmUpMs: LARGE_WARM_UP_MS,
        measuredMs: 6_000,
    },
];

/** The loads, and a wave at a load that the other failure domains can carry. */
export const SCENARIOS: readonly Scenario[] = [
    { name: "0.7", load: 0.7, hasWave: false },
    { name: "1.0", load: 1, hasWave: false },
    { name: "1.5", load: 1.5, hasWave: false },
    { name: "wave", load: 0.7, hasWave: true },
];
