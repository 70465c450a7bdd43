/**
 * @module Compares configurations item by item.
 */
import compareValues from "microdiff";
import { findItem, listItems } from "../decisions/configuration/applyChange";
import { createEmptyConfiguration } from "../decisions/configuration/createEmptyConfiguration";
import type { Configuration, ItemChange } from "../model/configuration";
import type { ConfigurationDocument } from "./configurationDocument";

/** How an item differs. */
export enum DifferenceKind {
    Added = "added",
    Changed = "changed",
    Removed = "removed",
}

/** A field that differs; an absent side is `undefined`. */
export interface FieldDifference {
    readonly field: string;
    readonly from: unknown;
    readonly to: unknown;
}

/** An item that differs. */
export interface ItemDifference {
    readonly difference: DifferenceKind;
    /** The change that makes the first configuration's item equal to the second's. */
    readonly change: ItemChange;
    /** For a changed item, what differs. */
    readonly fields: readonly FieldDifference[];
}

/**
 * Lists what must change in one configuration to get the other. Version moves are not compared.
 *
 * @param current - What is there
 * @param wanted - What is to be there
 * @returns One entry an item that differs; removals first
 * @example
 * const items = compareConfigurations(current, wanted).map(difference => difference.change);
 */
export function compareConfigurations(
    current: ConfigurationDocument,
    wanted: ConfigurationDocument,
): readonly ItemDifference[] {
    const before = toConfiguration(current);
    const after = toConfiguration(wanted);
    const removed = listItems(before)
        .filter(item => findItem(after, item) === undefined)
        .map(({ kind, name }) => ({ difference: DifferenceKind.Removed, change: { kind, name }, fields: [] }));
    return [...removed, ...listItems(after).flatMap(item => compareItem(before, item))];
}

function compareItem(before: Configuration, item: ItemChange): readonly ItemDifference[] {
    const present = findItem(before, item);
    if (present === undefined) {
        return [{ difference: DifferenceKind.Added, change: item, fields: [] }];
    }
    const differences = compareValues({ item: present }, { item: item.value });
    const fields = differences.map(difference => ({
        field: difference.path.slice(1).join("."),
        from: difference.type === "CREATE" ? undefined : (difference.oldValue as unknown),
        to: difference.type === "REMOVE" ? undefined : (difference.value as unknown),
    }));
    return fields.length === 0 ? [] : [{ difference: DifferenceKind.Changed, change: item, fields }];
}

function toConfiguration(document: ConfigurationDocument): Configuration {
    const { classes, accounts, services, endpointTraits } = document;
    return { ...createEmptyConfiguration(), classes, accounts, services, endpointTraits };
}
