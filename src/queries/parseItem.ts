/**
 * @module Checks one configuration item.
 */
import { err, ok, type Result } from "neverthrow";
import type { z } from "zod";
import type { ItemChange, ItemKind } from "../model/configuration";
import { ITEM_SCHEMAS, NAME_SCHEMAS } from "./itemSchemas";

/**
 * Checks the name and the value of an item by themselves, not against other items.
 *
 * @param kind - Kind of the item
 * @param name - Its name
 * @param value - Its value, from an untrusted source; a `name` inside it must be the same name
 * @param path - Where it stands, to begin problems with
 * @returns The item as a change that sets it, or every problem, one line each
 * @example
 * parseItem(ItemKind.Service, "assistant", { kind: "model", version: "v1" }, "services.assistant");
 */
export function parseItem(
    kind: ItemKind,
    name: string,
    value: unknown,
    path: string,
): Result<ItemChange, readonly string[]> {
    const parsedName = NAME_SCHEMAS[kind].safeParse(name);
    const parsedValue = (ITEM_SCHEMAS[kind] as z.ZodType).safeParse(removeOwnName(name, value));
    const problems = [
        ...(parsedName.error?.issues ?? []).map(issue => `${path}: the name ${issue.message}`),
        ...(parsedValue.error?.issues ?? []).flatMap(issue => formatIssue(path, issue)),
    ];
    if (problems.length > 0) {
        return err(problems);
    }
    return ok({ kind, name, value: { name, ...(parsedValue.data as object) } } as ItemChange);
}

function removeOwnName(name: string, value: unknown): unknown {
    if (typeof value !== "object" || !value || !("name" in value) || value.name !== name) {
        return value;
    }
    return Object.fromEntries(Object.entries(value).filter(([field]) => field !== "name"));
}

function formatIssue(path: string, issue: z.core.$ZodIssue): readonly string[] {
    if (issue.code === "unrecognized_keys") {
        return issue.keys.map(key => `${path}.${key}: no such field`);
    }
    const place = [path, ...issue.path.map(String)].join(".");
    const isMissing = issue.code === "invalid_type" && issue.input === undefined;
    return [`${place}: ${isMissing ? `${issue.message}, and is missing` : issue.message}`];
}
