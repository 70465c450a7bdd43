/**
 * @module Computes the chances with which a request goes to each failure domain.
 */
import { computeRamp, type Spillover } from "./decideSpillover";

/** Share of the own window up to which all requests stay, and from which all leave if the others have room. */
const LEAVE_FROM = 0.9;
const LEAVE_UNTIL = 1.1;

/**
 * Computes the chances of the other failure domains; the rest stays in the own one. The surplus goes to the same region while
 * there is room, then to others, in each by the room that is left of the window.
 *
 * @param spillover - How many requests the node may have in each failure domain
 * @param ownDomain - The node's failure domain
 * @param inFlight - Requests of this node in progress in each failure domain where the request may go
 * @returns The chance of each other failure domain that has one
 * @example
 * computeDomainShares(spillover, "east-1", new Map([["east-1", 12], ["east-2", 1]]));
 */
export function computeDomainShares(
    spillover: Spillover,
    ownDomain: string,
    inFlight: ReadonlyMap<string, number>,
): ReadonlyMap<string, number> {
    const shares = new Map<string, number>();
    let left = spillover.fullness;
    for (const isSameRegion of [true, false]) {
        const window = spillover.ownWindow * (isSameRegion ? 1 : spillover.regionFactor);
        const leaving = window > 0 ? computeRamp((inFlight.get(ownDomain) ?? 0) / window, LEAVE_FROM, LEAVE_UNTIL) : 1;
        const rooms = [...spillover.others]
            .filter(([domain, other]) => other.isSameRegion === isSameRegion && inFlight.has(domain))
            .map(([domain, { window: most, gain }]) => ({
                domain,
                room: gain * Math.max(0, most - (inFlight.get(domain) ?? 0)),
            }))
            .filter(({ room }) => room > 0);
        const total = rooms.reduce((sum, { room }) => sum + room, 0);
        // With room for less than one request, a part of them leaves.
        const taken = left * leaving * Math.min(1, total);
        if (taken > 0) {
            rooms.forEach(({ domain, room }) => shares.set(domain, (taken * room) / total));
            left -= taken;
        }
    }
    return shares;
}
