/**
 * @module The table rows that store the configuration, and their encoding.
 */
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { createFailure } from "../../../base/createFailure";
import { type Failure, FailureKind } from "../../../base/failure";
import { type AcceptedChange, type ItemChange, ItemKind } from "../../../model/configuration";
import type { RowWrite, TableTransaction } from "../../../ports/table";
import { RETAINED_CHANGES } from "./constants";

/** Key of the head row, which holds the newest revision. */
export const HEAD_KEY = "config/head";
/** Key prefix of the item rows. */
export const ITEM_PREFIX = "config/item/";
/** Key prefix of the change rows, one per revision. */
export const CHANGE_PREFIX = "config/change/";
const REVISION_DIGITS = 12;

/** Content of a change row. */
export interface StoredChange extends AcceptedChange {
    /** Identifies the change, so that its author can recognize it when the response to the commit was lost. */
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

const CHANGES_SCHEMA = z.object({ changes: z.array(CHANGE_SCHEMA), isWhole: z.boolean() });

/** The response to a node that requested changes: single changes, or the whole configuration as one change. */
export interface ChangesResponse {
    readonly changes: readonly AcceptedChange[];
    readonly isWhole: boolean;
}

/** Returns the key of a revision's change row. Keys sort by revision because the number is padded with zeros. */
export function toChangeKey(revision: number): string {
    return CHANGE_PREFIX + String(revision).padStart(REVISION_DIGITS, "0");
}

/** Decodes the head row and returns its revision. */
export function decodeHead(text: string): Result<number, Failure> {
    return decodeJson(text, HEAD_SCHEMA).map(head => head.revision);
}

/** Decodes a change row, or a change pushed by another node. */
export function decodeChange(text: string): Result<StoredChange, Failure> {
    return decodeJson(text, CHANGE_SCHEMA) as Result<StoredChange, Failure>;
}

/** Decodes the response of another node that was asked for changes. */
export function decodeChanges(text: string): Result<ChangesResponse, Failure> {
    return decodeJson(text, CHANGES_SCHEMA) as Result<ChangesResponse, Failure>;
}

/** Decodes an item row. */
export function decodeItem(text: string): Result<ItemChange, Failure> {
    return decodeJson(text, ITEM_SCHEMA) as Result<ItemChange, Failure>;
}

/** Builds the transaction that commits a change, on condition that the head row is still at `headVersion`. */
export function buildTransaction(
    change: StoredChange,
    headVersion: number | undefined,
    token: string,
): TableTransaction {
    const items = change.items.map((item): RowWrite => ({
        key: `${ITEM_PREFIX}${item.kind}/${item.name}`,
        value: item.value === undefined ? undefined : JSON.stringify(item),
    }));
    const expiredRevision = change.revision - RETAINED_CHANGES;
    return {
        token,
        conditions: [{ key: HEAD_KEY, version: headVersion }],
        writes: [
            { key: HEAD_KEY, value: JSON.stringify({ revision: change.revision }) },
            { key: toChangeKey(change.revision), value: JSON.stringify(change) },
            ...items,
            ...(expiredRevision > 0 ? [{ key: toChangeKey(expiredRevision), value: undefined }] : []),
        ],
    };
}

function decodeJson<T>(text: string, schema: z.ZodType<T>): Result<T, Failure> {
    try {
        return ok(schema.parse(JSON.parse(text)));
    } catch (error) {
        const message = `Invalid configuration data: ${error instanceof Error ? error.message : "unknown"}`;
        return err(createFailure(FailureKind.Internal, message));
    }
}
