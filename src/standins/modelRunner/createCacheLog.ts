/**
 * @module The cache events that an engine publishes: late, with gaps, only the newest kept.
 */
import type { Clock } from "../../base/clock";
import type { CacheEvent } from "../../ports/modelRunner";
import type { FaultGate } from "../_lib/createFaultGate";
import { KEPT_CACHE_EVENTS } from "../constants";
import { FaultKind } from "../fault";

/** Published cache events. */
export interface CacheLog {
    recordEvent(prefixHash: string, isEvicted: boolean): void;
    listEvents(afterSequence: number): readonly CacheEvent[];
}

/**
 * Creates an empty log.
 *
 * @param options - `lagMs`: age at which an event becomes visible; the gate for later and lost events
 * @returns The log
 * @example
 * const log = createCacheLog({ clock, lagMs: 200, readGate });
 */
export function createCacheLog(options: {
    readonly clock: Clock;
    readonly lagMs: number;
    readonly readGate: () => FaultGate;
}): CacheLog {
    const { clock } = options;
    let sequence = 0;
    const events: { readonly visibleAtMs: number; readonly event: CacheEvent }[] = [];
    return {
        recordEvent: (prefixHash, isEvicted) => {
            sequence++;
            if (options.readGate().strike(FaultKind.CacheEventsLost) !== undefined) {
                return;
            }
            const extraMs = options.readGate().strike(FaultKind.CacheEventsLate)?.delayMs ?? 0;
            const visibleAtMs = clock.readMonotonicMs() + options.lagMs + extraMs;
            events.push({ visibleAtMs, event: { sequence, prefixHash, isEvicted } });
            if (events.length > KEPT_CACHE_EVENTS) {
                events.shift();
            }
        },
        listEvents: afterSequence =>
            events
                .filter(entry => entry.event.sequence > afterSequence && entry.visibleAtMs <= clock.readMonotonicMs())
                .map(entry => entry.event),
    };
}
