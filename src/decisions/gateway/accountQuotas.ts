/**
 * @module Quotas of accounts, summed over all nodes.
 *
 * Each node counts what it admits itself and what its peers tell it. Peers that it doesn't hear keep an equal part of
 * the limit for themselves, so groups of nodes that lost each other stay within the limit together.
 */
import type { GatewayAccount } from "../../model/gateway";
import { createSlidingCount, type SlidingCount } from "./slidingCount";

/** The bound over all nodes. */
export interface QuotaTerms {
    readonly quotaWindowMs: number;
    /** By how much a quota may be exceeded in a window: a share of it, and a constant beside. */
    readonly quotaOverrun: number;
    readonly quotaSlack: number;
}

/** What is known of the other nodes. */
export interface PeerView {
    /** Live nodes, this one included. */
    readonly nodes: number;
    /** Nodes heard of late, this one included. */
    readonly heard: number;
}

/** The quotas of all accounts. */
export interface AccountQuotas {
    /** Takes `amount` if the account has room for it. */
    charge(account: GatewayAccount, amount: number, peers: PeerView, nowMs: number): boolean;
    /** Gives back what was charged for a request that was not executed. */
    refund(account: string, amount: number, nowMs: number): void;
    recordPeerUse(account: string, amount: number, nowMs: number): void;
    /** All that this node has charged, by account, since its start. */
    readTotals(): ReadonlyMap<string, number>;
}

/**
 * Creates the quotas.
 *
 * @param terms - The bound
 * @param startedAtMs - Start of this process if nodes ran before it; what its predecessor charged isn't known, so the
 * limit grows from nothing over the first window. Absent at the first start of the whole system
 * @returns The quotas
 * @example
 * quotas.charge(account, 1_460, { nodes: 9, heard: 9 }, nowMs);
 */
export function createAccountQuotas(terms: QuotaTerms, startedAtMs: number | undefined): AccountQuotas {
    const windowMs = terms.quotaWindowMs;
    const used = new Map<string, SlidingCount>();
    const totals = new Map<string, number>();
    const readCount = (account: string): SlidingCount => {
        const count = used.get(account) ?? createSlidingCount(windowMs);
        used.set(account, count);
        return count;
    };
    const charge = (account: string, amount: number, nowMs: number) => {
        readCount(account).add(amount, nowMs);
        totals.set(account, (totals.get(account) ?? 0) + amount);
    };
    return {
        charge: (account, amount, peers, nowMs) => {
            if (account.quotaPerSecond > 0) {
                const limit =
                    computeLimit(account, terms) * computeShare(peers) * computeRamp(startedAtMs, windowMs, nowMs);
                if (readCount(account.name).sum(nowMs) + amount > limit) {
                    return false;
                }
            }
            charge(account.name, amount, nowMs);
            return true;
        },
        refund: (account, amount, nowMs) => charge(account, -amount, nowMs),
        recordPeerUse: (account, amount, nowMs) => readCount(account).add(amount, nowMs),
        readTotals: () => totals,
    };
}

const MS_PER_S = 1_000;
/** Shares of the overrun that are used; the rest is for what the nodes admit before they hear of each other. */
const USED_OVERRUN = 0.8;
const USED_SLACK = 0.4;

function computeLimit(account: GatewayAccount, { quotaWindowMs, quotaOverrun, quotaSlack }: QuotaTerms): number {
    const quota = (account.quotaPerSecond * quotaWindowMs) / MS_PER_S + account.quotaBurst;
    const slack = account.countsTokens ? quotaSlack : 0;
    return quota * (1 + quotaOverrun * USED_OVERRUN) + slack * USED_SLACK;
}

function computeShare({ nodes, heard }: PeerView): number {
    return Math.min(1, heard / Math.max(1, nodes));
}

function computeRamp(startedAtMs: number | undefined, windowMs: number, nowMs: number): number {
    return startedAtMs === undefined ? 1 : Math.min(1, (nowMs - startedAtMs) / windowMs);
}
