/**
 * @module Applying an accepted change to a configuration.
 */
import { type AcceptedChange, type Configuration, type ItemChange, ItemKind } from "../../model/configuration";

type Collection = "classes" | "accounts" | "services" | "endpointTraits" | "versionMoves";

const COLLECTIONS: Readonly<Record<ItemKind, Collection>> = {
    [ItemKind.Class]: "classes",
    [ItemKind.Account]: "accounts",
    [ItemKind.Service]: "services",
    [ItemKind.EndpointTraits]: "endpointTraits",
    [ItemKind.VersionMove]: "versionMoves",
};

/**
 * Applies a change. Each item is replaced or removed as a whole, so that applying a change twice has no further effect.
 *
 * @param configuration - The previous configuration
 * @param change - The accepted change
 * @returns The configuration at the change's revision
 * @example
 * applyChange(configuration, { revision: 8, items: [{ kind: ItemKind.Class, name: "digest" }] });
 */
export function applyChange(configuration: Configuration, change: AcceptedChange): Configuration {
    return change.items.reduce(applyItem, { ...configuration, revision: change.revision });
}

/**
 * Finds the value of an item.
 *
 * @param configuration - The configuration
 * @param item - Kind and name of the item
 * @returns The item's value, or `undefined` if there is no such item
 * @example
 * findItem(configuration, { kind: ItemKind.Class, name: "digest" });
 */
export function findItem(configuration: Configuration, item: Pick<ItemChange, "kind" | "name">): unknown {
    const collection = configuration[COLLECTIONS[item.kind]];
    return Object.hasOwn(collection, item.name) ? collection[item.name] : undefined;
}

/**
 * Lists every item of a configuration as a change that would set it.
 *
 * @param configuration - The configuration
 * @returns One change per item, grouped by kind
 * @example
 * applyChange(createEmptyConfiguration(), { revision: 8, items: listItems(configuration) });
 */
export function listItems(configuration: Configuration): readonly ItemChange[] {
    return Object.values(ItemKind).flatMap(kind =>
        Object.entries(configuration[COLLECTIONS[kind]]).map(([name, value]) => ({ kind, name, value }) as ItemChange),
    );
}

function applyItem(configuration: Configuration, item: ItemChange): Configuration {
    const collection = COLLECTIONS[item.kind];
    const entries = Object.entries(configuration[collection]).filter(([name]) => name !== item.name);
    const kept = item.value === undefined ? entries : [...entries, [item.name, item.value]];
    return { ...configuration, [collection]: Object.fromEntries(kept) };
}
