/**
 * @module The rows that hold the configuration in the table, and their text forms.
 */
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { createFailure } from "../../../base/createFailure";
import { type Failure, FailureKind } from "../../../base/failure";
import { type AcceptedChange, type ItemChange, ItemKind } from "../../../model/configuration";
import type { RowWrite, TableTransaction } from "../../../ports/table";
import { KEPT_CHANGES } from "./constants";

/** Key of the row that names the newest revision. */
export const HEAD_KEY = "config/head";
/** Prefix of the rows that hold the items. */
export const ITEM_PREFIX = "config/item/";
/** Prefix of the rows that hold the changes by revision. */
export const CHANGE_PREFIX = "config/change/";
const REVISION_DIGITS = 12;

/** Content of a change row: the change, and the id by which its author finds it again. */
export interface StoredChange extends AcceptedChange {
    readonly changeId: string;
}

const ITEM_SCHEMA = z.object({
    kind: z.enum(ItemKind),
    name: z.string(),
    value: z.record(z.string(), z.unknown()).optional(),
});
const HEAD_SCHEMA = z.object({ revision: z.number().int().nonnegative() });
const CHANGE_SCHEMA = z.object({
    revision: z.number().int().positive(),
    changeId: z.string().default(""),
    items: z.array(ITEM_SCHEMA),
});

/** Gives the key of the change row of a revision; keys sort in the order of revisions. */
export function toChangeKey(revision: number): string {
    return CHANGE_PREFIX + String(revision).padStart(REVISION_DIGITS, "0");
}

/** Reads the head row's text. */
export function decodeHead(text: string): Result<number, Failure> {
    return decodeText(text, HEAD_SCHEMA).map(head => head.revision);
}

/** Reads the text of a change row or of a pushed change. */
export function decodeChange(text: string): Result<StoredChange, Failure> {
    return decodeText(text, CHANGE_SCHEMA) as Result<StoredChange, Failure>;
}

/** Reads the text of an item row. */
export function decodeItem(text: string): Result<ItemChange, Failure> {
    return decodeText(text, ITEM_SCHEMA) as Result<ItemChange, Failure>;
}

/** Builds the transaction that accepts a change on top of the head row at `headVersion`. */
export function buildTransaction(
    change: StoredChange,
    headVersion: number | undefined,
    token: string,
): TableTransaction {
    const items = change.items.map((item): RowWrite => ({
        key: `${ITEM_PREFIX}${item.kind}/${item.name}`,
        value: item.value === undefined ? undefined : JSON.stringify(item),
    }));
    const expired = change.revision - KEPT_CHANGES;
    return {
        token,
        conditions: [{ key: HEAD_KEY, version: headVersion }],
        writes: [
            { key: HEAD_KEY, value: JSON.stringify({ revision: change.revision }) },
            { key: toChangeKey(change.revision), value: JSON.stringify(change) },
            ...items,
            ...(expired > 0 ? [{ key: toChangeKey(expired), value: undefined }] : []),
        ],
    };
}

function decodeText<T>(text: string, schema: z.ZodType<T>): Result<T, Failure> {
    try {
        return ok(schema.parse(JSON.parse(text)));
    } catch (error) {
        const message = `Unreadable configuration data: ${error instanceof Error ? error.message : "unknown"}`;
        return err(createFailure(FailureKind.Internal, message));
    }
}
