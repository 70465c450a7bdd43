/**
 * @module The table service over HTTP.
 */
import { err, ok } from "neverthrow";
import { z } from "zod";
import { createFailure } from "../../base/createFailure";
import type { Disposable } from "../../base/disposableStore";
import { FailureKind } from "../../base/failure";
import type { TablePort } from "../../ports/table";
import { sendPlatformCall } from "../_lib/sendPlatformCall";
import { createPlatformConnection, type PlatformAdapterOptions } from "../_lib/createPlatformConnection";
import { formatListingQuery } from "../_lib/formatListingQuery";
import { parseAnswer } from "../_lib/parseAnswer";
import { refuseAnswer } from "../_lib/refuseAnswer";
import { HttpStatus } from "../_lib/httpStatus";

const rowSchema = z.object({ key: z.string(), value: z.string(), version: z.number(), token: z.string() });
const rowAnswerSchema = z.object({ row: rowSchema.optional() });
const rowsAnswerSchema = z.object({ rows: z.array(rowSchema) });
const commitAnswerSchema = z.object({ versions: z.array(z.number()) });
const conflictSchema = z.object({ keys: z.array(z.string()) });

/**
 * Creates the adapter to the table service.
 *
 * @param options - Address, port and bounds of the waits
 * @returns The table; disposing it closes its connections
 * @example
 * const table = createHttpTable({ address: "127.0.0.1", port: 7000 });
 * const row = await table.readRow("config/head");
 */
export function createHttpTable(options: PlatformAdapterOptions): TablePort & Disposable {
    const connection = createPlatformConnection(options);
    return {
        readRow: async key => {
            const answer = await sendPlatformCall(connection, {
                method: "GET",
                path: `/table/row?${new URLSearchParams({ key }).toString()}`,
            });
            return answer.andThen(({ status, body }) => {
                const value = status === HttpStatus.Ok ? parseAnswer(body, rowAnswerSchema) : undefined;
                return value === undefined ? refuseAnswer(status, false) : ok(value.row);
            });
        },
        listRows: async (prefix, listing) => {
            const path = `/table/rows?${formatListingQuery(prefix, listing)}`;
            const answer = await sendPlatformCall(connection, { method: "GET", path });
            return answer.andThen(({ status, body }) => {
                const value = status === HttpStatus.Ok ? parseAnswer(body, rowsAnswerSchema) : undefined;
                return value === undefined ? refuseAnswer(status, false) : ok(value.rows);
            });
        },
        commitTransaction: async transaction => {
            const body = Buffer.from(JSON.stringify(transaction));
            const answer = await sendPlatformCall(connection, { method: "POST", path: "/table/transactions", body });
            return answer.andThen(({ status, body: answerBody }) => {
                if (status === HttpStatus.Conflict) {
                    const keys = parseAnswer(answerBody, conflictSchema)?.keys ?? [];
                    const message = "A row changed since it was read.";
                    return err(createFailure(FailureKind.StoreConflict, message, { details: { keys } }));
                }
                const value = status === HttpStatus.Ok ? parseAnswer(answerBody, commitAnswerSchema) : undefined;
                return value === undefined ? refuseAnswer(status, status === HttpStatus.Ok) : ok(value.versions);
            });
        },
        dispose: connection.pool.dispose,
    };
}
