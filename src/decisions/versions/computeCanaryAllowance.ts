/**
 * @module Computes how many requests a node may send to a version on trial.
 */

/** The bound on the requests that a version on trial may get from all nodes together. */
export interface ExposureBounds {
    /** Share of the requests to its service, beyond `exposureSlack` of them. */
    readonly exposureShare: number;
    readonly exposureSlack: number;
}

/** What a node knows of a trial. */
export interface TrialFacts {
    /** Requests to the service that this node has sent to any endpoint since the order. */
    readonly requests: number;
    /** Live nodes of the fleet. */
    readonly nodes: number;
    /** Share of the order's time for which this node has known the order, 0 to 1. */
    readonly knownShare: number;
}

/** Parts of the bounds that a trial uses. The rest covers the shift of all requests, late news and restarts. */
const TRIAL_SHARE = 0.3;
const TRIAL_SLACK_SHARE = 0.5;

/**
 * Computes the allowance of one node. It depends on what the node itself has sent, and the slack is granted little by
 * little, so that the sum over all nodes stays within the bound without messages, through partitions and restarts.
 *
 * @param bounds - The bound on all nodes together
 * @param facts - What the node knows
 * @returns Number of requests since the order, as a fraction
 * @example
 * computeCanaryAllowance({ exposureShare: 0.1, exposureSlack: 50 }, { requests: 200, nodes: 5, knownShare: 1 }); //=> 11
 */
export function computeCanaryAllowance(
    { exposureShare, exposureSlack }: ExposureBounds,
    { requests, nodes, knownShare }: TrialFacts,
): number {
    const slack = (TRIAL_SLACK_SHARE * exposureSlack * Math.min(1, knownShare)) / Math.max(1, nodes);
    return TRIAL_SHARE * exposureShare * requests + slack;
}
