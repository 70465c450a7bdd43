/**
 * @module Which revision a node may start from while the store is away.
 */

/** A revision that another node shows. */
export interface ShownRevision {
    readonly nodeId: string;
    readonly failureDomain: string;
    readonly revision: number;
}

/**
 * Chooses the newest revision that nodes of several failure domains show. One domain alone could be cut off with an old
 * revision. If one domain shows more than the others, the higher one is chosen once the number of domains is reached:
 * a revision that any node shows is committed.
 *
 * @param shown - What the other nodes show now
 * @param domainsWanted - How many failure domains must show a revision above 0
 * @returns The revision and the nodes that have it, or `undefined` while too few domains show one
 * @example
 * chooseBootstrapRevision(shown, 2)?.revision;
 */
export function chooseBootstrapRevision(
    shown: readonly ShownRevision[],
    domainsWanted: number,
): { readonly revision: number; readonly nodeIds: readonly string[] } | undefined {
    const usable = shown.filter(node => node.revision > 0);
    if (new Set(usable.map(node => node.failureDomain)).size < domainsWanted) {
        return undefined;
    }
    const revision = Math.max(...usable.map(node => node.revision));
    const nodeIds = usable.filter(node => node.revision === revision).map(node => node.nodeId);
    return { revision, nodeIds };
}
