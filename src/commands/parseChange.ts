/**
 * @module Checks a change of several items.
 */
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { createFailure } from "../base/createFailure";
import { type Failure, FailureKind } from "../base/failure";
import { type ConfigurationChange, type ItemChange, ItemKind } from "../model/configuration";
import { parseItem } from "../queries/parseItem";
import { createBodyFailure } from "./_lib/createBodyFailure";

/** Most items of one change. */
const MOST_ITEMS = 10_000;

const itemBody = z.strictObject({
    kind: z.enum(ItemKind),
    name: z.string(),
    value: z.unknown().optional(),
});

const changeBody = z.strictObject({
    basedOnRevision: z.int("must be a whole number").min(0, "must not be negative"),
    items: z.array(itemBody).min(1, "must not be empty").max(MOST_ITEMS, `must have at most ${MOST_ITEMS} items`),
});

/**
 * Checks the body of a change of several items, accepted or refused as a whole.
 *
 * @param body - `{ basedOnRevision, items: [{ kind, name, value? }] }`; an item without value is removed
 * @returns The change, or `InvalidRequest` (shape of the body) or `InvalidConfiguration` (an item)
 * @example
 * parseChange({ basedOnRevision: 7, items: [{ kind: "class", name: "digest" }] });
 */
export function parseChange(body: unknown): Result<ConfigurationChange, Failure> {
    const parsed = changeBody.safeParse(body);
    if (!parsed.success) {
        return err(createBodyFailure(parsed.error));
    }
    const results = parsed.data.items.map((item, index) => parseChangedItem(item, index));
    const problems = [
        ...results.flatMap(result => (result.isErr() ? result.error : [])),
        ...listRepeatedItems(parsed.data.items),
    ];
    if (problems.length > 0) {
        const message = "Items of the change are not valid.";
        return err(createFailure(FailureKind.InvalidConfiguration, message, { details: { problems } }));
    }
    const items = results.flatMap(result => (result.isOk() ? [result.value] : []));
    return ok({ basedOnRevision: parsed.data.basedOnRevision, items });
}

function parseChangedItem(item: z.infer<typeof itemBody>, index: number): Result<ItemChange, readonly string[]> {
    return item.value === undefined
        ? ok({ kind: item.kind, name: item.name })
        : parseItem(item.kind, item.name, item.value, `items.${index}.${item.name}`);
}

function listRepeatedItems(items: readonly z.infer<typeof itemBody>[]): readonly string[] {
    const seen = new Set<string>();
    return items.flatMap((item, index) => {
        const id = `${item.kind} ${item.name}`;
        const isRepeated = seen.has(id);
        seen.add(id);
        return isRepeated ? [`items.${index}.${item.name}: stands in the change twice`] : [];
    });
}
