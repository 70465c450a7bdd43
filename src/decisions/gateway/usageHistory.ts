/**
 * @module The rate at which all nodes together charged an account, over the last quota window.
 */
import { RECENT_USAGE_MS } from "../relays/constants";

const SLOT_MS = 250;
/** Slots beyond one window, since reports are late. */
const SPARE_SLOTS = 8;
/** Share of the mean rate that is assumed before the first sample; the usage may have been uneven. */
const UNKNOWN_SHARE = 0.5;

/** Keeps samples of the rate, from which follows how much usage leaves the window when. */
export interface UsageHistory {
    /** Records the reported usage in the window and in the recent time; a later sample in a slot replaces the former. */
    recordSample(used: number, recent: number, nowMs: number): void;
    /** Sums what was charged between two times, as reported at those times. */
    sumUsage(fromMs: number, toMs: number): number;
    /** Creates a history with the same samples, which changes by itself from then on. */
    createCopy(): UsageHistory;
}

interface HistoryState {
    readonly rates: Float64Array;
    newest: number;
}

/**
 * Creates an empty history.
 *
 * @param windowMs - Length of the quota window in milliseconds
 * @returns The history; only its owner may change it
 * @example
 * history.recordSample(800, 50, nowMs);
 * history.sumUsage(nowMs - 8_000, nowMs);
 */
export function createUsageHistory(windowMs: number): UsageHistory {
    const count = Math.ceil(windowMs / SLOT_MS) + SPARE_SLOTS;
    return createHistory(windowMs, { rates: new Float64Array(count), newest: Number.NEGATIVE_INFINITY });
}

function createHistory(windowMs: number, state: HistoryState): UsageHistory {
    const { rates } = state;
    const count = rates.length;
    return {
        recordSample: (used, recent, nowMs) => {
            const slot = Math.floor(nowMs / SLOT_MS);
            const rate = recent / RECENT_USAGE_MS;
            if (slot - state.newest >= count) {
                rates.fill(Math.max(0, UNKNOWN_SHARE * Math.min((used - recent) / windowMs, rate)));
                state.newest = slot;
            }
            // Between samples the lower rate counts: usage that is taken to leave the window too early would be granted.
            const between = Math.min(rates[state.newest % count] ?? 0, rate);
            while (state.newest < slot) {
                state.newest++;
                rates[state.newest % count] = between;
            }
            rates[slot % count] = rate;
        },
        sumUsage: (fromMs, toMs) => {
            let sum = 0;
            for (let slot = Math.floor(fromMs / SLOT_MS); slot * SLOT_MS < toMs; slot++) {
                const partMs = Math.min(toMs, (slot + 1) * SLOT_MS) - Math.max(fromMs, slot * SLOT_MS);
                const known = Math.min(state.newest, Math.max(state.newest - count + 1, slot));
                sum += partMs * (rates[known % count] ?? 0);
            }
            return sum;
        },
        createCopy: () => createHistory(windowMs, { ...state, rates: rates.slice() }),
    };
}
