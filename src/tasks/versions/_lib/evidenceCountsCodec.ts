/**
 * @module Encoding of evidence counts between nodes: a JSON array with one array per cell (a route at a load level).
 */
import { z } from "zod";
import { type CellCounts, LoadLevel, Measure, type MeasureCounts } from "../../../decisions/versions/versionEvidence";

const MAXIMUM_PAYLOAD_BYTES = 16_384;

const countSchema = z.number().int().min(0);
const cellSchema = z.tuple([
    z.string().max(256),
    z.enum(LoadLevel),
    z.tuple([countSchema, countSchema, countSchema, countSchema, countSchema, countSchema]),
    z.tuple([countSchema, countSchema, countSchema, countSchema, countSchema, countSchema]),
]);
const payloadSchema = z.array(cellSchema).max(256);

type CountList = z.infer<typeof cellSchema>[2];

/**
 * Encodes evidence counts.
 *
 * @param cells - Counts by cell
 * @returns The encoded payload
 * @example
 * exchange.publishUpdate(ExchangeTopic.VersionEvidence, moveName, encodeEvidenceCounts(cells));
 */
export function encodeEvidenceCounts(cells: readonly CellCounts[]): Uint8Array {
    const list = cells.map(cell => [cell.route, cell.loadLevel, toCountList(cell.old), toCountList(cell.next)]);
    return Buffer.from(JSON.stringify(list));
}

/**
 * Decodes evidence counts.
 *
 * @param payload - Payload from another node
 * @returns Counts by cell, or `undefined` if the payload is invalid
 * @example
 * const cells = decodeEvidenceCounts(update.payload);
 */
export function decodeEvidenceCounts(payload: Uint8Array): readonly CellCounts[] | undefined {
    if (payload.length > MAXIMUM_PAYLOAD_BYTES) {
        return undefined;
    }
    const parsed = payloadSchema.safeParse(parseJson(payload));
    return parsed.data?.map(([route, loadLevel, old, next]) => ({
        route,
        loadLevel,
        old: toMeasureCounts(old),
        next: toMeasureCounts(next),
    }));
}

function parseJson(payload: Uint8Array): unknown {
    try {
        return JSON.parse(Buffer.from(payload).toString("utf8")) as unknown;
    } catch {
        return undefined;
    }
}

function toCountList(counts: MeasureCounts): readonly number[] {
    return [Measure.Failures, Measure.FirstToken, Measure.TokenGap].flatMap(measure => [
        counts[measure].trials,
        counts[measure].bad,
    ]);
}

function toMeasureCounts([failures, failed, firstTokens, slowTokens, gaps, slowGaps]: CountList): MeasureCounts {
    return {
        [Measure.Failures]: { trials: failures, bad: failed },
        [Measure.FirstToken]: { trials: firstTokens, bad: slowTokens },
        [Measure.TokenGap]: { trials: gaps, bad: slowGaps },
    };
}
