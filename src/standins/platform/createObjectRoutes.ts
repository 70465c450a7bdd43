/**
 * @module The object store of the platform stand-in.
 */
import type { Clock } from "../../base/clock";
import type { StandinCall, StandinReply, StandinRoute } from "../_lib/standinCall";
import { createTokenBucket } from "./createTokenBucket";
import { listSortedKeys } from "./listSortedKeys";
import { HttpStatus } from "../../adapters/_lib/httpStatus";

/** The objects and the store's limits. */
export interface ObjectOptions {
    readonly objects: Map<string, Buffer>;
    readonly clock: Clock;
    readonly writesPerSecond: number;
    readonly readsPerSecond: number;
}

const OBJECT_PATH = "/objects/";
const THROTTLED: StandinReply = {
    status: HttpStatus.TooManyRequests,
    body: { effect: "none" },
    headers: { "retry-after-ms": "100" },
};

/**
 * Creates the object store's routes: `PUT`, `GET` (with `Range`) and `DELETE` of `/objects/{key}`, and
 * `GET /object-keys?prefix=&after=&limit=`.
 *
 * @param options - Objects and limits
 * @returns The routes
 * @example
 * createObjectRoutes({ objects: new Map(), clock, writesPerSecond: 400, readsPerSecond: 2_000 });
 */
export function createObjectRoutes(options: ObjectOptions): readonly StandinRoute[] {
    const { objects, clock } = options;
    const writes = createTokenBucket(options.writesPerSecond);
    const reads = createTokenBucket(options.readsPerSecond);

    const withLimit =
        (limit: typeof writes, handle: (call: StandinCall, key: string) => StandinReply) =>
        (call: StandinCall): StandinReply =>
            limit.takeUnit(clock.readMonotonicMs()) ? handle(call, call.path.slice(OBJECT_PATH.length)) : THROTTLED;

    return [
        {
            method: "GET",
            path: "/object-keys",
            handle: withLimit(reads, call => ({
                status: HttpStatus.Ok,
                body: { keys: listSortedKeys(objects.keys(), call.query) },
            })),
        },
        {
            method: "PUT",
            path: OBJECT_PATH,
            handle: withLimit(writes, (call, key) => {
                objects.set(key, call.body);
                return { status: HttpStatus.Ok };
            }),
        },
        {
            method: "DELETE",
            path: OBJECT_PATH,
            handle: withLimit(writes, (call, key) => {
                objects.delete(key);
                return { status: HttpStatus.Ok };
            }),
        },
        {
            method: "GET",
            path: OBJECT_PATH,
            handle: withLimit(reads, (call, key) => readRange(call, objects.get(key))),
        },
    ];
}

function readRange(call: StandinCall, body: Buffer | undefined): StandinReply {
    if (body === undefined) {
        return { status: HttpStatus.NotFound, body: { effect: "none" } };
    }
    const range = /^bytes=(\d+)-(\d+)$/.exec(call.headers.range ?? "");
    return !range
        ? { status: HttpStatus.Ok, body }
        : { status: HttpStatus.PartialContent, body: body.subarray(Number(range[1]), Number(range[2]) + 1) };
}
