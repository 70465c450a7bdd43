/**
 * @module Export and import of KV cache between runners.
 */
import { z } from "zod";
import { sendHttpCall } from "../../adapters/_lib/sendHttpCall";
import { parseAnswer } from "../../adapters/_lib/parseAnswer";
import type { Clock } from "../../base/clock";
import type { StandinCall, StandinReply, StandinRoute } from "../_lib/standinCall";
import { CACHE_BYTES_PER_TOKEN } from "../constants";
import { HttpStatus } from "../../adapters/_lib/httpStatus";

/** KV cache of some leading tokens of a conversation and its answer. */
export interface ExportedCache {
    readonly promptHash: number;
    readonly tokens: number;
}

/** Caches exported by this runner or imported into it. */
export interface CacheExchange {
    readonly routes: readonly StandinRoute[];
    /** Finds an imported cache. */
    findImported(cacheId: string): ExportedCache | undefined;
}

/** What the exchange needs. */
export interface CacheExchangeOptions {
    readonly clock: Clock;
    readonly bytesPerSecond: number;
    /** Gives the KV cache of a running attempt. */
    readonly findRunning: (requestId: string, attempt: number) => ExportedCache | undefined;
}

const cacheSchema = z.object({ promptHash: z.number(), tokens: z.number() });
const exportSchema = z.object({ request_id: z.string(), attempt: z.number() });
const importSchema = z.object({ address: z.string(), port: z.number(), cache_id: z.string() });

/**
 * Creates the exchange's routes: `POST /redwinglift/cache/export` and `/import`, and `GET /redwinglift/cache/{id}`,
 * which another runner reads at the transfer speed.
 *
 * @param options - Transfer speed and the running attempts
 * @returns The exchange
 * @example
 * createCacheExchange({ clock, bytesPerSecond: 2e9, findRunning });
 */
export function createCacheExchange(options: CacheExchangeOptions): CacheExchange {
    const exported = new Map<string, ExportedCache>();
    const imported = new Map<string, ExportedCache>();

    const exportCache = (call: StandinCall): StandinReply => {
        const wanted = parseAnswer(call.body, exportSchema);
        const cache = wanted && options.findRunning(wanted.request_id, wanted.attempt);
        if (wanted === undefined || cache === undefined) {
            return { status: HttpStatus.NotFound };
        }
        const cacheId = `${wanted.request_id}.${wanted.attempt}.${cache.tokens}`;
        exported.set(cacheId, cache);
        const bytes = cache.tokens * CACHE_BYTES_PER_TOKEN;
        return { status: HttpStatus.Ok, body: { cache_id: cacheId, bytes, tokens: cache.tokens } };
    };
    const importCache = async (call: StandinCall): Promise<StandinReply> => {
        const wanted = parseAnswer(call.body, importSchema);
        if (wanted === undefined) {
            return { status: HttpStatus.BadRequest };
        }
        const path = `/redwinglift/cache/${encodeURIComponent(wanted.cache_id)}`;
        const outcome = await sendHttpCall(wanted, { method: "GET", path });
        const cache =
            outcome.isAnswered && outcome.status === HttpStatus.Ok ? parseAnswer(outcome.body, cacheSchema) : undefined;
        if (cache === undefined) {
            return { status: HttpStatus.BadGateway, body: { error: { message: "The cache could not be read." } } };
        }
        await options.clock.waitMs((cache.tokens * CACHE_BYTES_PER_TOKEN * 1000) / options.bytesPerSecond);
        imported.set(wanted.cache_id, cache);
        return { status: HttpStatus.Ok };
    };
    const readCache = (call: StandinCall): StandinReply => {
        const cache = exported.get(call.path.slice("/redwinglift/cache/".length));
        return cache === undefined ? { status: HttpStatus.NotFound } : { status: HttpStatus.Ok, body: cache };
    };
    return {
        findImported: cacheId => imported.get(cacheId),
        routes: [
            { method: "POST", path: "/redwinglift/cache/export", handle: exportCache },
            { method: "POST", path: "/redwinglift/cache/import", handle: importCache },
            { method: "GET", path: "/redwinglift/cache/", handle: readCache },
        ],
    };
}
