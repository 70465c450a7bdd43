/**
 * @module Account quotas, enforced over all nodes together.
 *
 * Each node counts the usage that it admits and the usage that its peers report. A group of nodes that receive each
 * other's reports may use a share of the limit in proportion to its size, and no more than what remains after all known
 * usage. Groups on both sides of a network partition therefore stay within the limit together.
 */
import type { GatewayAccount } from "../../model/gateway";
import { createSlidingWindowCounter, type SlidingWindowCounter } from "./slidingWindowCounter";

/** The window of the quotas, and the tolerance by which all nodes together may exceed them. */
export interface QuotaPolicy {
    readonly quotaWindowMs: number;
    /** By how much a quota may be exceeded in a window: `quotaOverrun` as a share of it, plus `quotaSlack`. */
    readonly quotaOverrun: number;
    readonly quotaSlack: number;
}

/** The latest report of another node from which a message arrived recently. */
export interface PeerReport {
    readonly node: string;
    /** Usage charged at all nodes in the last window as far as this peer knows, by account. */
    readonly used: Readonly<Record<string, number>>;
    /** For how long it has been counting usage, in milliseconds; at most one window. */
    readonly countsForMs: number;
}

/** What this node knows about the other nodes. */
export interface PeerView {
    /** Live nodes, this one included. */
    readonly nodes: number;
    /** Reports of the reachable peers, which are those from which a message arrived recently. */
    readonly heard: readonly PeerReport[];
    /** True if the unreachable nodes leave this node and its reachable peers a share of each limit. */
    readonly isCounted: boolean;
}

/** Enforces the quotas of all accounts at one node. */
export interface AccountQuotas {
    /** Charges `amount` if the quota of the account allows it; returns false, and charges nothing, if not. */
    charge(account: GatewayAccount, amount: number, peers: PeerView, nowMs: number): boolean;
    /** Refunds the amount that was charged for a request that was not executed. */
    refund(account: string, amount: number, nowMs: number): void;
    /** Counts usage that another node reported as newly charged. */
    recordPeerUsage(peer: string, account: string, amount: number, nowMs: number): void;
    /** Describes the usage that this node knows of, for its reports to the other nodes. */
    describeCounts(nowMs: number): Pick<PeerReport, "used" | "countsForMs">;
    /** Reads the total usage charged by this node since its start, by account. */
    readTotals(): ReadonlyMap<string, number>;
}

/**
 * Creates the quotas of all accounts.
 *
 * @param policy - The window and the tolerance
 * @param startedAtMs - Start of this process, if other nodes may have charged usage before it: the limits then grow
 * from near zero during the first window, unless a reachable peer has been counting for longer. `undefined` at the
 * first start of the whole system
 * @returns The quotas
 * @example
 * quotas.charge(account, 1_460, peers.readView(), nowMs);
 */
export function createAccountQuotas(policy: QuotaPolicy, startedAtMs: number | undefined): AccountQuotas {
    const windowMs = policy.quotaWindowMs;
    const states = new Map<string, AccountState>();
    const totals = new Map<string, number>();
    const readState = (account: string): AccountState => {
        const state = states.get(account) ?? {
            allNodes: createSlidingWindowCounter(windowMs),
            own: createSlidingWindowCounter(windowMs),
            unreported: createSlidingWindowCounter(REPORT_DELAY_MS),
            peers: new Map<string, SlidingWindowCounter>(),
        };
        states.set(account, state);
        return state;
    };
    const charge = (account: string, amount: number, nowMs: number) => {
        const { allNodes, own, unreported } = readState(account);
        [allNodes, own, unreported].forEach(counter => counter.add(amount, nowMs));
        totals.set(account, (totals.get(account) ?? 0) + amount);
    };
    const computeUptimeMs = (nowMs: number) => (startedAtMs === undefined ? windowMs : nowMs - startedAtMs);
    const hasQuotaLeft = (account: GatewayAccount, amount: number, view: PeerView, nowMs: number): boolean => {
        const limit = computeLimit(account, policy);
        const state = readState(account.name);
        const { known, unreported } = computeUsage(account.name, state, view, limit * ASSUMED_PEER_SHARE, nowMs);
        const countsForMs = Math.max(computeUptimeMs(nowMs), ...view.heard.map(peer => peer.countsForMs));
        return (
            known + unreported + amount <= limit * computeRampUpShare(countsForMs, windowMs) &&
            sumReachableUsage(state, view, nowMs) + unreported + amount <= limit * computeReachableShare(view)
        );
    };
    return {
        charge: (account, amount, view, nowMs) => {
            if (account.quotaPerSecond > 0 && !hasQuotaLeft(account, amount, view, nowMs)) {
                return false;
            }
            charge(account.name, amount, nowMs);
            return true;
        },
        refund: (account, amount, nowMs) => charge(account, -amount, nowMs),
        recordPeerUsage: (peer, account, amount, nowMs) => {
            const { allNodes, peers } = readState(account);
            const peerCounter = peers.get(peer) ?? createSlidingWindowCounter(windowMs);
            peers.set(peer, peerCounter);
            [allNodes, peerCounter].forEach(counter => counter.add(amount, nowMs));
        },
        describeCounts: nowMs => ({
            used: Object.fromEntries(
                [...states].map(([name, { allNodes }]) => [name, Math.round(allNodes.sum(nowMs))]),
            ),
            countsForMs: Math.min(windowMs, computeUptimeMs(nowMs)),
        }),
        readTotals: () => totals,
    };
}

/** Usage of one account in the current window. */
interface AccountState {
    /** Charged at all nodes, as far as they reported it. */
    readonly allNodes: SlidingWindowCounter;
    /** Charged at this node. */
    readonly own: SlidingWindowCounter;
    /** Charged at this node so recently that the peers may not have received the report. */
    readonly unreported: SlidingWindowCounter;
    /** Charged at each other node, by its name. */
    readonly peers: Map<string, SlidingWindowCounter>;
}

const MS_PER_S = 1_000;
/** Time until the peers have received the report of a charge. */
const REPORT_DELAY_MS = 500;
/** Used shares of the tolerance. The rest covers what nodes admit before they receive each other's reports. */
const USED_OVERRUN_SHARE = 0.6;
const USED_SLACK_SHARE = 0.4;
/** Head start of the ramp-up, without which the first requests after a restart of all nodes would be refused. */
const RAMP_UP_HEAD_START_MS = 400;
/** Length of the ramp-up to the full limit, in windows. Above 1, since usage before the start may have been uneven. */
const RAMP_UP_WINDOWS = 1.25;
/** Assumed usage of the peers, as a share of the limit, until enough of it is known to compare with this node's. */
const ASSUMED_PEER_SHARE = 0.05;

/** Computes what all nodes together may charge to an account in a window, including the used part of the tolerance. */
function computeLimit(account: GatewayAccount, { quotaWindowMs, quotaOverrun, quotaSlack }: QuotaPolicy): number {
    const quota = (account.quotaPerSecond * quotaWindowMs) / MS_PER_S + account.quotaBurst;
    const slack = account.countsTokens ? quotaSlack : 0;
    return quota * (1 + quotaOverrun * USED_OVERRUN_SHARE) + slack * USED_SLACK_SHARE;
}

/** Usage charged at all nodes in the current window. */
interface AccountUsage {
    /** The highest sum that this node or a reachable peer knows of. */
    readonly known: number;
    /** Estimate of what the peers have charged and not reported yet. */
    readonly unreported: number;
}

/**
 * Computes the usage of an account. The unreported usage of the peers is estimated from this node's own, scaled by the
 * ratio of their known usage to its own.
 */
function computeUsage(
    account: string,
    state: AccountState,
    { nodes, heard }: PeerView,
    assumedPeerUsage: number,
    nowMs: number,
): AccountUsage {
    const ownUnreported = Math.max(0, state.unreported.sum(nowMs));
    const known = Math.max(state.allNodes.sum(nowMs), ...heard.map(peer => (peer.used[account] ?? 0) + ownUnreported));
    const own = Math.max(0, state.own.sum(nowMs));
    const peerCount = Math.max(1, nodes - 1);
    const ratio = (Math.max(0, known - own) + assumedPeerUsage) / (own + assumedPeerUsage / peerCount);
    return { known, unreported: ownUnreported * Math.min(nodes - 1, ratio) };
}

/** Sums the usage charged at this node and its reachable peers. */
function sumReachableUsage({ own, peers }: AccountState, { heard }: PeerView, nowMs: number): number {
    return heard.reduce((sum, { node }) => sum + (peers.get(node)?.sum(nowMs) ?? 0), own.sum(nowMs));
}

/** Computes the share of the limit that is granted while the usage charged before the start is unknown. */
function computeRampUpShare(countsForMs: number, windowMs: number): number {
    return countsForMs >= windowMs ? 1 : (countsForMs + RAMP_UP_HEAD_START_MS) / (RAMP_UP_WINDOWS * windowMs);
}

/** Computes the share of the limit that this node and its reachable peers may use together. */
function computeReachableShare({ nodes, heard, isCounted }: PeerView): number {
    return isCounted ? Math.min(1, (heard.length + 1) / Math.max(1, nodes)) : 0;
}
