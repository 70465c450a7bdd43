/**
 * @module Checks the request to set or remove one item.
 */
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { createFailure } from "../base/createFailure";
import { type Failure, FailureKind } from "../base/failure";
import type { ItemChange, ItemKind } from "../model/configuration";
import { parseItem } from "../queries/parseItem";
import { createBodyFailure } from "./_lib/createBodyFailure";

/** One item with the revision that the change was based on. */
export interface BasedItemChange {
    readonly basedOnRevision: number;
    readonly item: ItemChange;
}

const revision = z.int("must be a whole number").min(0, "must not be negative");
const setBody = z.strictObject({ basedOnRevision: revision, value: z.unknown() });

/**
 * Checks the body of a request to set an item: `{ basedOnRevision, value }`.
 *
 * @param kind - Kind of the item
 * @param name - Its name
 * @param body - The request's body
 * @returns The change, or `InvalidRequest` (shape of the body) or `InvalidConfiguration` (the item itself)
 * @example
 * parseItemChange(ItemKind.Service, "assistant", { basedOnRevision: 7, value: { kind: "model", version: "v1" } });
 */
export function parseItemChange(kind: ItemKind, name: string, body: unknown): Result<BasedItemChange, Failure> {
    const parsed = setBody.safeParse(body);
    if (!parsed.success) {
        return err(createBodyFailure(parsed.error));
    }
    const { basedOnRevision, value } = parsed.data;
    return parseItem(kind, name, value, "value")
        .map(item => ({ basedOnRevision, item }))
        .mapErr(createItemFailure);
}

/**
 * Checks a request to remove an item.
 *
 * @param kind - Kind of the item
 * @param name - Its name
 * @param basedOnRevision - The query parameter of that name; anything but a whole number is refused
 * @returns The change, or `InvalidRequest`
 * @example
 * parseRemoval(ItemKind.Class, "digest", "7");
 */
export function parseRemoval(
    kind: ItemKind,
    name: string,
    basedOnRevision: string | undefined,
): Result<BasedItemChange, Failure> {
    if (!/^\d{1,15}$/.test(basedOnRevision ?? "")) {
        const message = "The query parameter basedOnRevision must be a whole number.";
        return err(createFailure(FailureKind.InvalidRequest, message));
    }
    return ok({ basedOnRevision: Number(basedOnRevision), item: { kind, name } });
}

function createItemFailure(problems: readonly string[]): Failure {
    return createFailure(FailureKind.InvalidConfiguration, "The item is not valid.", { details: { problems } });
}
