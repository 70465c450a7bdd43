/**
 * @module The nodes of this node's failure domain, and which of them are its relays.
 */
import type { Clock } from "../../base/clock";
import type { Log } from "../../base/log/log";
import { chooseRelays, countRelays } from "../../decisions/relays/chooseRelays";
import { MEMBER_TIMEOUT_MS } from "../../decisions/relays/constants";
import type { NodeIdentity } from "../../decisions/relays/news";
import { isSendableAddress } from "./isSendableAddress";

/** A relay from which no view came for this long, while this node reported to it, is replaced for a while. */
export const RELAY_SILENT_MS = 800;
const RELAY_SUSPECT_MS = 10_000;

/** The members of the failure domain, as one of them knows them. */
export interface RelayRoster {
    /**
     * Takes nodes that another node or the store lists; those of other failure domains, or without an address to send
     * to, are ignored.
     */
    addMembers(list: readonly NodeIdentity[]): void;
    hasMember(node: string): boolean;
    /** Records a message of a node, which therefore lives. */
    recordLife(node: string): void;
    /** Records a view of the fleet by a relay. */
    recordView(relay: string): void;
    /** Records that this node could hear nobody for some time, which doesn't count as silence of its relay. */
    recordStandstill(durationMs: number): void;
    /** Lists the chosen relays, the first choice first; this node itself may be among them. */
    listRelays(): readonly NodeIdentity[];
    /** Passes over the first choice for a while if it sends no views; gives the relays that then are chosen. */
    replaceSilentRelay(): readonly NodeIdentity[];
}

/**
 * Creates a roster with this node alone.
 *
 * @param self - This node
 * @param clock - Measures silence
 * @param log - Gets a line for each relay that is replaced
 * @returns The roster
 * @example
 * roster.replaceSilentRelay().forEach(relay => sendReport(relay));
 */
export function createRelayRoster(self: NodeIdentity, clock: Clock, log: Log): RelayRoster {
    const members = new Map<string, { readonly identity: NodeIdentity; readonly listedAtMs: number }>();
    const suspectUntilMs = new Map<string, number>();
    let primary: { readonly node: string; heardAtMs: number } | undefined;

    const expireMembers = () => {
        for (const [node, { listedAtMs }] of members) {
            if (clock.readMonotonicMs() - listedAtMs >= MEMBER_TIMEOUT_MS) {
                members.delete(node);
            }
        }
    };
    const listRelays = () => {
        expireMembers();
        const others = [...members.values()].map(({ identity }) => identity).filter(({ node }) => node !== self.node);
        const usable = [self, ...others].filter(
            ({ node }) => clock.readMonotonicMs() >= (suspectUntilMs.get(node) ?? 0),
        );
        return chooseRelays(usable, countRelays(usable.length));
    };
    const replaceSilentRelay = (): readonly NodeIdentity[] => {
        const choices = listRelays();
        const first = choices[0]?.node ?? self.node;
        if (first === self.node) {
            primary = undefined;
            return choices;
        }
        if (primary?.node !== first) {
            primary = { node: first, heardAtMs: clock.readMonotonicMs() };
        }
        const silentMs = clock.readMonotonicMs() - primary.heardAtMs;
        if (silentMs < RELAY_SILENT_MS) {
            return choices;
        }
        log.info("relay replaced", { relay: first, silentMs: Math.round(silentMs) });
        suspectUntilMs.set(first, clock.readMonotonicMs() + RELAY_SUSPECT_MS);
        return replaceSilentRelay();
    };
    const recordLife = (node: string) => void suspectUntilMs.delete(node);
    return {
        addMembers: list => {
            const listedAtMs = clock.readMonotonicMs();
            list.filter(member => member.failureDomain === self.failureDomain && isSendableAddress(member)).forEach(
                identity => members.set(identity.node, { identity, listedAtMs }),
            );
        },
        hasMember: node => members.has(node),
        recordLife,
        recordView: relay => {
            recordLife(relay);
            if (primary?.node === relay) {
                primary.heardAtMs = clock.readMonotonicMs();
            }
        },
        recordStandstill: durationMs => {
            if (primary !== undefined) {
                primary.heardAtMs += durationMs;
            }
        },
        listRelays,
        replaceSilentRelay,
    };
}
