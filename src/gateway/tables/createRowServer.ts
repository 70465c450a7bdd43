/**
 * @module Serves the rows of watched tables to other nodes by HTTP long polling, so that few nodes read the store.
 */
import http, { type IncomingMessage, type ServerResponse } from "node:http";
import { z } from "zod";
import { parseAnswer } from "../../adapters/_lib/parseAnswer";
import { HttpStatus } from "../../adapters/_lib/httpStatus";
import type { Clock } from "../../base/clock";
import type { ClusterTime } from "./createClusterTime";
import { FailureOwner, type FailureReporter } from "../process/createFailureReporter";
import type { TableSnapshot } from "./createTableSnapshot";

/** Path of the rows of a table; its name follows. */
export const ROWS_PATH = "/rows/";
/** Longest time for which a request may wait for a change. */
const WAIT_MAX_MS = 5_000;

/** An answer: rows with what the reader needs to judge their age. */
export const ROWS_SCHEMA = z.object({
    rows: z.array(z.object({ key: z.string(), value: z.string().optional(), version: z.number() })),
    revision: z.number(),
    isWholeTable: z.boolean(),
    isStoreRecovering: z.boolean(),
    /** Upper bound of the time since the store was asked, when the answer was written. */
    ageMs: z.number().nonnegative(),
    /** Time for which the request waited here. */
    heldMs: z.number().nonnegative(),
    storeNowMs: z.number(),
});
/** The content of an answer. */
export type RowsAnswer = z.infer<typeof ROWS_SCHEMA>;

/** Dependencies of the server. */
export interface RowServerOptions {
    readonly snapshots: Readonly<Record<string, TableSnapshot>>;
    readonly clusterTime: ClusterTime;
    readonly clock: Clock;
    readonly reportFailure: FailureReporter;
}

/**
 * Creates the server; it does not listen yet.
 *
 * @param options - The tables it serves, and dependencies
 * @returns The server
 * @example
 * await startListening(createRowServer({ snapshots, clusterTime, clock, reportFailure }), { address, port });
 */
export function createRowServer({ snapshots, clusterTime, clock, reportFailure }: RowServerOptions): http.Server {
    const answerRequest = async (request: IncomingMessage, response: ServerResponse) => {
        const arrivedAtMs = clock.readMonotonicMs();
        const url = new URL(request.url ?? "/", "http://node");
        const table = url.pathname.slice(ROWS_PATH.length);
        const snapshot = Object.hasOwn(snapshots, table) ? snapshots[table] : undefined;
        if (!url.pathname.startsWith(ROWS_PATH) || snapshot === undefined) {
            response.writeHead(HttpStatus.NotFound).end();
            return;
        }
        const since = url.searchParams.get("since") ?? undefined;
        const sinceRevision = since === undefined ? undefined : Number(since);
        const waitMs = Math.min(WAIT_MAX_MS, Number(url.searchParams.get("wait") ?? 0) || 0);
        const known = snapshot.readRows(sinceRevision);
        const hasNews = known !== undefined && (sinceRevision === undefined || known.rows.length > 0);
        if (!hasNews && waitMs > 0 && !snapshot.isFailing()) {
            await snapshot.waitForAnswer(waitMs);
        }
        const rows = snapshot.readRows(sinceRevision);
        const storeNowMs = clusterTime.readStoreMs();
        if (
            snapshot.isFailing() ||
            rows === undefined ||
            storeNowMs === undefined ||
            rows.revision < (sinceRevision ?? 0)
        ) {
            response.writeHead(HttpStatus.ServiceUnavailable).end();
            return;
        }
        const answer: RowsAnswer = {
            ...rows,
            rows: rows.rows.map(({ key, value, version }) => ({
                key,
                version,
                ...(value === undefined ? {} : { value }),
            })),
            heldMs: clock.readMonotonicMs() - arrivedAtMs,
            storeNowMs,
        };
        response.end(JSON.stringify(answer));
    };
    const server = http.createServer({ keepAlive: true, noDelay: true }, (request, response) => {
        request.resume();
        response.sendDate = false;
        answerRequest(request, response).catch((error: unknown) => {
            reportFailure(FailureOwner.InternalRequest, error);
            if (response.headersSent) {
                response.destroy();
            } else {
                response.writeHead(HttpStatus.InternalServerError).end();
            }
        });
    });
    server.keepAliveTimeout = KEEP_ALIVE_MS;
    return server;
}

/** Longer than the longest pause between two polls, so that a poll opens no new connection. */
const KEEP_ALIVE_MS = 30_000;

/**
 * Decodes an answer.
 *
 * @param body - Its body
 * @returns The content; `undefined` if it is malformed
 * @example
 * decodeRowsAnswer(outcome.body)?.revision;
 */
export function decodeRowsAnswer(body: Buffer): RowsAnswer | undefined {
    return parseAnswer(body, ROWS_SCHEMA);
}
