/**
 * @module Choosing the configuration revision to start from while the store is unavailable.
 */

/** A configuration revision that another node advertises. */
export interface AdvertisedRevision {
    readonly nodeId: string;
    readonly failureDomain: string;
    readonly revision: number;
}

/**
 * Chooses the highest advertised revision once nodes of enough failure domains advertise one. A single domain could be
 * partitioned from the others with an old revision. The highest revision is safe even if only one domain advertises it,
 * because every advertised revision has been committed.
 *
 * @param advertised - The revisions that the other nodes currently advertise
 * @param requiredDomains - Number of failure domains that must advertise a revision above 0
 * @returns The revision and the nodes that have it, or `undefined` while too few domains advertise one
 * @example
 * chooseBootstrapRevision(advertised, 2)?.revision;
 */
export function chooseBootstrapRevision(
    advertised: readonly AdvertisedRevision[],
    requiredDomains: number,
): { readonly revision: number; readonly nodeIds: readonly string[] } | undefined {
    const usable = advertised.filter(node => node.revision > 0);
    if (new Set(usable.map(node => node.failureDomain)).size < requiredDomains) {
        return undefined;
    }
    const revision = Math.max(...usable.map(node => node.revision));
    const nodeIds = usable.filter(node => node.revision === revision).map(node => node.nodeId);
    return { revision, nodeIds };
}
