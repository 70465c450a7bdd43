/**
 * @module Evidence counts as bytes between nodes: a JSON list with one short list a cell.
 */
import { z } from "zod";
import { type CellCounts, LoadLevel, Measure, type MeasureCounts } from "../../../decisions/versions/versionEvidence";

const LARGEST_PAYLOAD_BYTES = 16_384;

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
 * Encodes counts.
 *
 * @param cells - Counts by cell
 * @returns Bytes
 * @example
 * exchange.publishUpdate(ExchangeTopic.VersionEvidence, moveName, encodeCounts(cells));
 */
export function encodeCounts(cells: readonly CellCounts[]): Uint8Array {
    const list = cells.map(cell => [cell.route, cell.loadLevel, toList(cell.old), toList(cell.next)]);
    return Buffer.from(JSON.stringify(list));
}

/**
 * Decodes counts.
 *
 * @param payload - Bytes of another node
 * @returns Counts by cell, or `undefined` if the bytes are not understood
 * @example
 * const cells = decodeCounts(update.payload);
 */
export function decodeCounts(payload: Uint8Array): readonly CellCounts[] | undefined {
    if (payload.length > LARGEST_PAYLOAD_BYTES) {
        return undefined;
    }
    const parsed = payloadSchema.safeParse(parseText(payload));
    return parsed.data?.map(([route, loadLevel, old, next]) => ({
        route,
        loadLevel,
        old: toCounts(old),
        next: toCounts(next),
    }));
}

function parseText(payload: Uint8Array): unknown {
    try {
        return JSON.parse(Buffer.from(payload).toString("utf8")) as unknown;
    } catch {
        return undefined;
    }
}

function toList(counts: MeasureCounts): readonly number[] {
    return [Measure.Failures, Measure.FirstToken, Measure.TokenGap].flatMap(measure => [
        counts[measure].trials,
        counts[measure].bad,
    ]);
}

function toCounts([failures, failed, firstTokens, slowTokens, gaps, slowGaps]: CountList): MeasureCounts {
    return {
        [Measure.Failures]: { trials: failures, bad: failed },
        [Measure.FirstToken]: { trials: firstTokens, bad: slowTokens },
        [Measure.TokenGap]: { trials: gaps, bad: slowGaps },
    };
}
