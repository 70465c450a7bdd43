/**
 * @module Quotas of accounts, summed over all nodes.
 *
 * Each node counts what it admits itself and what its peers tell it. Nodes that hear each other may use their part of the
 * limit, by their number, and no more than is left of what all are known to have used: so groups of nodes that lost each
 * other stay within the limit together.
 */
import type { GatewayAccount } from "../../model/gateway";
import { createSlidingWindowCounter, type SlidingWindowCounter } from "./slidingWindowCounter";

/** The bound over all nodes. */
export interface QuotaPolicy {
    readonly quotaWindowMs: number;
    /** By how much a quota may be exceeded in a window: a share of it, and a constant beside. */
    readonly quotaOverrun: number;
    readonly quotaSlack: number;
}

/** Another node that was heard a moment ago. */
export interface PeerReport {
    readonly node: string;
    /** What it knows to have been charged at all nodes in the last window, by account. */
    readonly used: Readonly<Record<string, number>>;
    /** How long it has counted, in milliseconds. */
    readonly countsForMs: number;
}

/** What is known of the other nodes. */
export interface PeerView {
    /** Live nodes, this one included. */
    readonly nodes: number;
    readonly heard: readonly PeerReport[];
    /** True if the nodes that aren't heard still leave a part of the limits to this one and those that it hears. */
    readonly isCounted: boolean;
}

/** The quotas of all accounts. */
export interface AccountQuotas {
    /** Takes `amount` if the account has room for it. */
    charge(account: GatewayAccount, amount: number, peers: PeerView, nowMs: number): boolean;
    /** Gives back what was charged for a request that was not executed. */
    refund(account: string, amount: number, nowMs: number): void;
    recordPeerUsage(peer: string, account: string, amount: number, nowMs: number): void;
    /** What this node tells the others of its counts. */
    describeCounts(nowMs: number): Pick<PeerReport, "used" | "countsForMs">;
    /** All that this node has charged, by account, since its start. */
    readTotals(): ReadonlyMap<string, number>;
}

/**
 * Creates the quotas.
 *
 * @param terms - The bound
 * @param startedAtMs - Start of this process if nodes ran before it: until it hears a node that counted before, the limit
 * grows from nothing over the first window. Absent at the first start of the whole system
 * @returns The quotas
 * @example
 * quotas.charge(account, 1_460, peers.readView(), nowMs);
 */
export function createAccountQuotas(terms: QuotaPolicy, startedAtMs: number | undefined): AccountQuotas {
    const windowMs = terms.quotaWindowMs;
    const states = new Map<string, AccountState>();
    const totals = new Map<string, number>();
    const readState = (account: string): AccountState => {
        const state = states.get(account) ?? {
            all: createSlidingWindowCounter(windowMs),
            own: createSlidingWindowCounter(windowMs),
            untold: createSlidingWindowCounter(UNTOLD_MS),
            peers: new Map<string, SlidingWindowCounter>(),
        };
        states.set(account, state);
        return state;
    };
    const charge = (account: string, amount: number, nowMs: number) => {
        const { all, own, untold } = readState(account);
        [all, own, untold].forEach(count => count.add(amount, nowMs));
        totals.set(account, (totals.get(account) ?? 0) + amount);
    };
    const computeAgeMs = (nowMs: number) => (startedAtMs === undefined ? windowMs : nowMs - startedAtMs);
    const hasRoom = (account: GatewayAccount, amount: number, view: PeerView, nowMs: number): boolean => {
        const limit = computeLimit(account, terms);
        const state = readState(account.name);
        const { known, untold } = computeUsed(account.name, state, view, limit * ASSUMED_SHARE, nowMs);
        const countsForMs = Math.max(computeAgeMs(nowMs), ...view.heard.map(peer => peer.countsForMs));
        return (
            known + untold + amount <= limit * computeRamp(countsForMs, windowMs) &&
            sumHeard(state, view, nowMs) + untold + amount <= limit * computeHeardShare(view)
        );
    };
    return {
        charge: (account, amount, view, nowMs) => {
            if (account.quotaPerSecond > 0 && !hasRoom(account, amount, view, nowMs)) {
                return false;
            }
            charge(account.name, amount, nowMs);
            return true;
        },
        refund: (account, amount, nowMs) => charge(account, -amount, nowMs),
        recordPeerUsage: (peer, account, amount, nowMs) => {
            const { all, peers } = readState(account);
            const count = peers.get(peer) ?? createSlidingWindowCounter(windowMs);
            peers.set(peer, count);
            [all, count].forEach(one => one.add(amount, nowMs));
        },
        describeCounts: nowMs => ({
            used: Object.fromEntries([...states].map(([name, { all }]) => [name, Math.round(all.sum(nowMs))])),
            countsForMs: Math.min(windowMs, computeAgeMs(nowMs)),
        }),
        readTotals: () => totals,
    };
}

/** What is counted of an account over the window. */
interface AccountState {
    /** At all nodes, as far as they told. */
    readonly all: SlidingWindowCounter;
    readonly own: SlidingWindowCounter;
    /** Charged here so lately that the peers may not know of it. */
    readonly untold: SlidingWindowCounter;
    /** At each other node. */
    readonly peers: Map<string, SlidingWindowCounter>;
}

const MS_PER_S = 1_000;
/** Time until what is charged here has reached the peers. */
const UNTOLD_MS = 500;
/** Shares of the overrun that are used; the rest is for what the nodes admit before they hear of each other. */
const USED_OVERRUN = 0.6;
const USED_SLACK = 0.4;
/** The first requests after a start of all nodes are granted as if they had counted for this long before. */
const FIRST_GRANT_MS = 400;
/** Windows over which the limit would grow to the whole: a tenant's use before the start may have been uneven. */
const RAMP_WINDOWS = 1.25;
/** Use of the peers, as a share of the limit, that is assumed until more is known of their proportion to this node's. */
const ASSUMED_SHARE = 0.05;

function computeLimit(account: GatewayAccount, { quotaWindowMs, quotaOverrun, quotaSlack }: QuotaPolicy): number {
    const quota = (account.quotaPerSecond * quotaWindowMs) / MS_PER_S + account.quotaBurst;
    const slack = account.countsTokens ? quotaSlack : 0;
    return quota * (1 + quotaOverrun * USED_OVERRUN) + slack * USED_SLACK;
}

/** What all nodes have charged. */
interface UsedAmount {
    /** By what any of them knows. */
    readonly known: number;
    /** Likely to have been charged by the nodes that are heard, and not told yet. */
    readonly untold: number;
}

/** Computes what was charged; the peers charge as much as this node meanwhile, in the proportion of their use and its. */
function computeUsed(
    account: string,
    state: AccountState,
    { nodes, heard }: PeerView,
    assumed: number,
    nowMs: number,
): UsedAmount {
    const ownUntold = Math.max(0, state.untold.sum(nowMs));
    const known = Math.max(state.all.sum(nowMs), ...heard.map(peer => (peer.used[account] ?? 0) + ownUntold));
    const own = Math.max(0, state.own.sum(nowMs));
    const peers = Math.max(1, nodes - 1);
    const proportion = (Math.max(0, known - own) + assumed) / (own + assumed / peers);
    return { known, untold: ownUntold * Math.min(nodes - 1, proportion) };
}

/** Sums the use of the nodes that hear each other, this one included. */
function sumHeard({ own, peers }: AccountState, { heard }: PeerView, nowMs: number): number {
    return heard.reduce((sum, { node }) => sum + (peers.get(node)?.sum(nowMs) ?? 0), own.sum(nowMs));
}

/** Computes the part of the limit that is granted while what was charged before the start isn't known. */
function computeRamp(countsForMs: number, windowMs: number): number {
    return countsForMs >= windowMs ? 1 : (countsForMs + FIRST_GRANT_MS) / (RAMP_WINDOWS * windowMs);
}

/** Computes the share of the limit that nodes which hear each other may use. */
function computeHeardShare({ nodes, heard, isCounted }: PeerView): number {
    return isCounted ? Math.min(1, (heard.length + 1) / Math.max(1, nodes)) : 0;
}
