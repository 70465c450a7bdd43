/**
 * @module The form in which nodes tell each other of leaving VMs.
 */
import type { DepartureNotice } from "./directoryState";

/**
 * Encodes notices for other nodes.
 *
 * @param notices - The notices
 * @returns UTF-8 JSON: `[[vmId, incarnation, reclaimAtWallMs or 0], ...]`
 * @example
 * exchange.publishUpdate(ExchangeTopic.VmLeaving, key, encodeNotices(news));
 */
export function encodeNotices(notices: readonly DepartureNotice[]): Uint8Array {
    const rows = notices.map(notice => [notice.vmId, notice.incarnation ?? 0, notice.reclaimAtWallMs ?? 0]);
    return Buffer.from(JSON.stringify(rows), "utf8");
}
