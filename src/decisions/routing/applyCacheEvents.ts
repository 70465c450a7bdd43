/**
 * @module Applying cache events of endpoints to the prefix index.
 */
import type { CacheEvent } from "../../ports/modelRunner";
import type { Candidate } from "./candidate";
import { GAP_DROP_SHARE } from "./constants";
import { dropEndpointPrefixes } from "./dropEndpointPrefixes";
import { dropPrefix } from "./dropPrefix";
import type { PrefixIndex } from "./prefixIndex";
import { recordPrefixes } from "./recordPrefixes";

/**
 * Applies an endpoint's cache events. A gap in the sequence numbers means that events were lost. Evictions among them
 * most likely concern the oldest prefixes, so these are dropped from the index. A sequence number that doesn't rise
 * means that the engine has restarted with an empty cache.
 *
 * @param index - The index; changed in place
 * @param candidate - The endpoint; changed in place
 * @param events - Events in order of their sequence numbers
 * @returns Number of lost events
 * @example
 * lost += applyCacheEvents(index, candidate, events);
 */
export function applyCacheEvents(index: PrefixIndex, candidate: Candidate, events: readonly CacheEvent[]): number {
    let lost = 0;
    for (const event of events) {
        const isFirst = candidate.cacheSequence < 0;
        const missing = isFirst ? 0 : event.sequence - candidate.cacheSequence - 1;
        if (missing > 0) {
            lost += missing;
            dropEndpointPrefixes(index, candidate, GAP_DROP_SHARE);
        } else if (missing < 0) {
            dropEndpointPrefixes(index, candidate);
        }
        candidate.cacheSequence = event.sequence;
        if (event.isEvicted) {
            dropPrefix(index, candidate, event.prefixHash);
        } else {
            recordPrefixes(index, candidate, [event.prefixHash]);
        }
    }
    return lost;
}
