/**
 * @module What a node keeps about the usage of one account.
 */
import type { ShareCredit } from "./admitShare";
import { NEWS_DELAY_MAX_MS, RECENT_USAGE_MS } from "../relays/constants";
import { createSlidingWindowCounter, type SlidingWindowCounter } from "./slidingWindowCounter";
import { createUsageHistory, type UsageHistory } from "./usageHistory";

/** Usage of one account at this node. */
export interface AccountState extends ShareCredit {
    /** Charged in the current quota window. */
    readonly own: SlidingWindowCounter;
    /** Charged so recently that the other nodes may not have received the report. */
    readonly unreported: SlidingWindowCounter;
    /** Charged and asked for within the time that reports call recent. */
    readonly recent: SlidingWindowCounter;
    readonly asked: SlidingWindowCounter;
    /** Asked for in the current quota window. */
    readonly askedInWindow: SlidingWindowCounter;
    /** Charged by all nodes. */
    readonly history: UsageHistory;
    /** Mean size of the requests, weighted by size. */
    requestSize: number | undefined;
    /** The credit for what has left the window of the usage before a restart. */
    readonly formerCredit: ShareCredit;
    /** Random part of a request that must be left of an equal part of the quota. */
    firstPart: number | undefined;
    /** Time after which the last refused request may be admitted, where that is known. */
    retryMs: number | undefined;
}

/**
 * Creates the state of an account without usage.
 *
 * @param windowMs - Length of the quota window in milliseconds
 * @returns The state; only its owner may change it
 * @example
 * createAccountState(8_000).own.sum(nowMs); //=> 0
 */
export function createAccountState(windowMs: number): AccountState {
    return {
        own: createSlidingWindowCounter(windowMs),
        unreported: createSlidingWindowCounter(NEWS_DELAY_MAX_MS),
        recent: createSlidingWindowCounter(RECENT_USAGE_MS),
        asked: createSlidingWindowCounter(RECENT_USAGE_MS),
        askedInWindow: createSlidingWindowCounter(windowMs),
        history: createUsageHistory(windowMs),
        shareCredit: undefined,
        requestSize: undefined,
        formerCredit: { shareCredit: undefined },
        firstPart: undefined,
        retryMs: undefined,
    };
}

/**
 * Builds a copy that changes by itself from then on.
 *
 * @param state - The state
 * @returns The copy
 * @example
 * buildAccountStateCopy(state).own.add(100, nowMs);
 */
export function buildAccountStateCopy(state: AccountState): AccountState {
    return {
        ...state,
        own: state.own.createCopy(),
        unreported: state.unreported.createCopy(),
        recent: state.recent.createCopy(),
        asked: state.asked.createCopy(),
        askedInWindow: state.askedInWindow.createCopy(),
        history: state.history.createCopy(),
        formerCredit: { ...state.formerCredit },
    };
}
