/**
 * @module Decodes the departure notices that nodes send each other.
 */
import { z } from "zod";
import type { DepartureNotice } from "./directoryState";

const NOTICES_SCHEMA = z.array(z.tuple([z.string(), z.number().int(), z.number()]));

/**
 * Decodes departure notices of another node. A malformed payload, for example from a newer release, yields none.
 *
 * @param payload - The encoded notices, as `encodeNotices` returns them
 * @returns The notices
 * @example
 * decodeNotices(update.payload);
 */
export function decodeNotices(payload: Uint8Array): readonly DepartureNotice[] {
    const parsed = NOTICES_SCHEMA.safeParse(parseJson(payload));
    return (parsed.data ?? []).map(([vmId, incarnation, reclaimAtWallMs]) => ({
        vmId,
        incarnation,
        reclaimAtWallMs: reclaimAtWallMs > 0 ? reclaimAtWallMs : undefined,
    }));
}

function parseJson(payload: Uint8Array): unknown {
    try {
        return JSON.parse(Buffer.from(payload).toString("utf8"));
    } catch {
        return undefined;
    }
}
