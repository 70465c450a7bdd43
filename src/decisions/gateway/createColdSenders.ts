/**
 * @module Tells which node of a failure domain sends the domain's share of requests to a cold endpoint, by the lists of
 * members that the domain's relays send to each of them.
 */
import { hashText } from "../../base/hashText";

/** A list of members counts for this long: two lists in a row from both relays may be lost. */
export const MEMBER_LIST_VALID_MS = 5_000;
/**
 * A node sends only after all lists of this time have chosen it. A node that is no longer chosen has stopped by then, a
 * second before, even if it missed the lists that say so.
 */
export const SENDER_DELAY_MS = MEMBER_LIST_VALID_MS + 1_000;
/** A node that was listed within this time counts as a member when a list is checked for its majority. */
const KNOWN_MS = 60_000;

/** The choice of senders, as one node knows it. */
export interface ColdSenders {
    /** Takes members that are known from elsewhere, such as the store; they only make a majority harder to reach. */
    recordKnown(nodes: readonly string[], nowMs: number): void;
    /**
     * Takes a list of members from a relay of the failure domain, which may be this node. `isAlone`: this node hears
     * nobody, so that its own list says nothing of the others.
     */
    recordMembers(nodes: readonly string[], isAlone: boolean, nowMs: number): void;
    /** Tells whether this node sends its failure domain's share to an endpoint now. */
    isSender(endpointId: string, nowMs: number): boolean;
}

interface MemberList {
    readonly nodes: readonly string[];
    readonly atMs: number;
    /** The chosen node by endpoint; shared by lists with the same members. */
    readonly choices: Map<string, string | undefined>;
}

/** More endpoints than this at a time are chosen for anew. */
const CHOICES_MAX = 1_000;

/**
 * Creates the choice of a node that has no list yet.
 *
 * @param self - Name of this node
 * @returns The choice
 * @example
 * senders.recordMembers(["n-1", "n-2"], false, nowMs);
 * senders.isSender("i-1", nowMs);
 */
export function createColdSenders(self: string): ColdSenders {
    const knownAtMs = new Map<string, number>();
    /** Lists since which this node may be a sender: no two are further apart than a list is valid. */
    let lists: readonly MemberList[] = [];

    const recordKnown = (nodes: readonly string[], nowMs: number) => {
        nodes.forEach(node => knownAtMs.set(node, nowMs));
        for (const [node, atMs] of knownAtMs) {
            if (nowMs - atMs >= KNOWN_MS) {
                knownAtMs.delete(node);
            }
        }
    };
    const expireLists = (nowMs: number) => {
        const newest = lists.at(-1);
        if (newest === undefined || nowMs - newest.atMs < MEMBER_LIST_VALID_MS) {
            // The newest list that is old enough shows that the choice held for the whole delay.
            const since = lists.findLastIndex(({ atMs }) => nowMs - atMs >= SENDER_DELAY_MS);
            lists = since <= 0 ? lists : lists.slice(since);
        } else {
            lists = [];
        }
    };
    const chooseNode = ({ nodes, choices }: MemberList, endpointId: string): string | undefined => {
        if (!choices.has(endpointId)) {
            if (choices.size >= CHOICES_MAX) {
                choices.clear();
            }
            choices.set(endpointId, chooseByHash(nodes, endpointId));
        }
        return choices.get(endpointId);
    };
    return {
        recordKnown,
        recordMembers: (listed, isAlone, nowMs) => {
            const nodes = [...new Set(listed)].sort();
            recordKnown(nodes, nowMs);
            expireLists(nowMs);
            // A list without most of the known members comes from the smaller side of a cut, or from a new relay.
            if (isAlone || !nodes.includes(self) || nodes.length * 2 <= knownAtMs.size) {
                return;
            }
            const newest = lists.at(-1);
            const isSame =
                newest?.nodes.length === nodes.length && newest.nodes.every((node, index) => node === nodes[index]);
            lists = [...lists, { nodes, atMs: nowMs, choices: isSame ? newest.choices : new Map() }];
        },
        isSender: (endpointId, nowMs) => {
            expireLists(nowMs);
            const [oldest] = lists;
            return (
                oldest !== undefined &&
                nowMs - oldest.atMs >= SENDER_DELAY_MS &&
                lists.every(list => chooseNode(list, endpointId) === self)
            );
        },
    };
}

/** Chooses a node by rendezvous hashing. */
function chooseByHash(nodes: readonly string[], endpointId: string): string | undefined {
    let best: string | undefined;
    let bestHash = -1;
    for (const node of nodes) {
        const hash = hashText(`${endpointId}|${node}`);
        if (hash > bestHash) {
            bestHash = hash;
            best = node;
        }
    }
    return best;
}
