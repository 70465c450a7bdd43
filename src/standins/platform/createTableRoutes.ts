/**
 * @module The transactional table of the platform stand-in.
 */
import { z } from "zod";
import type { Clock } from "../../base/clock";
import type { TableRow } from "../../ports/table";
import type { StandinCall, StandinReply, StandinRoute } from "../_lib/standinCall";
import { createTokenBucket } from "./createTokenBucket";
import { listSortedKeys } from "./listSortedKeys";
import { HttpStatus } from "../../adapters/_lib/httpStatus";

const transactionSchema = z.strictObject({
    token: z.string(),
    conditions: z.array(z.strictObject({ key: z.string(), version: z.number().int().optional() })),
    writes: z.array(z.strictObject({ key: z.string(), value: z.string().optional() })),
});

/** The table's rows and its limits. */
export interface TableOptions {
    readonly rows: Map<string, TableRow>;
    readonly clock: Clock;
    readonly writesPerSecond: number;
    readonly readsPerSecond: number;
}

const THROTTLED: StandinReply = {
    status: HttpStatus.TooManyRequests,
    body: { effect: "none" },
    headers: { "retry-after-ms": "100" },
};

/**
 * Creates the table's routes: `GET /table/row?key=`, `GET /table/rows?prefix=&after=&limit=` and
 * `POST /table/transactions`. A transaction takes effect as a whole or not at all; one row's version rises with each
 * write, also over a deletion.
 *
 * @param options - Rows and limits
 * @returns The routes
 * @example
 * createTableRoutes({ rows: new Map(), clock, writesPerSecond: 400, readsPerSecond: 2_000 });
 */
export function createTableRoutes(options: TableOptions): readonly StandinRoute[] {
    const { rows, clock } = options;
    const writes = createTokenBucket(options.writesPerSecond);
    const reads = createTokenBucket(options.readsPerSecond);
    let lastVersion = 0;

    const withReadLimit = (handle: (call: StandinCall) => StandinReply) => (call: StandinCall) =>
        reads.takeUnit(clock.readMonotonicMs()) ? handle(call) : THROTTLED;

    const commitTransaction = (call: StandinCall): StandinReply => {
        if (!writes.takeUnit(clock.readMonotonicMs())) {
            return THROTTLED;
        }
        const parsed = transactionSchema.safeParse(JSON.parse(call.body.toString("utf8")));
        if (!parsed.success) {
            return { status: HttpStatus.BadRequest, body: { effect: "none", message: z.prettifyError(parsed.error) } };
        }
        const { token, conditions, writes: changes } = parsed.data;
        const broken = conditions.filter(condition => rows.get(condition.key)?.version !== condition.version);
        if (broken.length > 0) {
            return {
                status: HttpStatus.Conflict,
                body: { effect: "none", keys: broken.map(condition => condition.key) },
            };
        }
        lastVersion++;
        for (const { key, value } of changes) {
            if (value === undefined) {
                rows.delete(key);
            } else {
                rows.set(key, { key, value, version: lastVersion, token });
            }
        }
        return { status: HttpStatus.Ok, body: { versions: changes.map(() => lastVersion) } };
    };
    return [
        {
            method: "GET",
            path: "/table/rows",
            handle: withReadLimit(call => ({
                status: HttpStatus.Ok,
                body: { rows: listSortedKeys(rows.keys(), call.query).map(key => rows.get(key)) },
            })),
        },
        {
            method: "GET",
            path: "/table/row",
            handle: withReadLimit(call => ({
                status: HttpStatus.Ok,
                body: { row: rows.get(call.query.get("key") ?? "") },
            })),
        },
        { method: "POST", path: "/table/transactions", handle: commitTransaction },
    ];
}
