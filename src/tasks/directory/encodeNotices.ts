/**
 * @module Encodes the departure notices that nodes send each other.
 */
import type { DepartureNotice } from "./directoryState";

/**
 * Encodes departure notices for other nodes.
 *
 * @param notices - The notices
 * @returns UTF-8 JSON: `[[vmId, incarnation, reclaimAtWallMs], ...]`, with 0 for a value that isn't known
 * @example
 * exchange.publishUpdate(ExchangeTopic.VmLeaving, key, encodeNotices(newNotices));
 */
export function encodeNotices(notices: readonly DepartureNotice[]): Uint8Array {
    const rows = notices.map(notice => [notice.vmId, notice.incarnation ?? 0, notice.reclaimAtWallMs ?? 0]);
    return Buffer.from(JSON.stringify(rows), "utf8");
}
