/**
 * @module Keys and decoding of lease rows in the platform's table.
 */
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { createFailure } from "../../../base/createFailure";
import { type Failure, FailureKind } from "../../../base/failure";
import type { StoredLeaseRow } from "../../../decisions/leases/leaseState";
import type { TableRow } from "../../../ports/table";

const ROW_SCHEMA = z.object({
    holderId: z.string().optional(),
    epoch: z.number().int().positive(),
    durationMs: z.number().positive(),
});

/** Returns the table key of a lease's row. */
export function toLeaseKey(name: string): string {
    return `lease/${name}`;
}

/** Decodes a lease row; `undefined` if there is no row. */
export function decodeLeaseRow(row: TableRow | undefined): Result<StoredLeaseRow | undefined, Failure> {
    if (row === undefined) {
        return ok(undefined);
    }
    try {
        const { holderId, epoch, durationMs } = ROW_SCHEMA.parse(JSON.parse(row.value));
        return ok({ row: { holderId, epoch, durationMs }, rowVersion: row.version, token: row.token });
    } catch {
        return err(createFailure(FailureKind.Internal, `Lease row ${row.key} can't be decoded.`));
    }
}
