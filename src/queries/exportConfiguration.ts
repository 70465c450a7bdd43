/**
 * @module Writes configuration files.
 */
import { stringify } from "yaml";
import { type ConfigurationDocument, DOCUMENT_FORMAT_VERSION } from "./configurationDocument";

/**
 * Exports a configuration as a file that `parseConfigurationFile` reads back to the same items. Sections and names are
 * sorted, so that two exports can be compared line by line.
 *
 * @param document - The items; a whole configuration will do, its version moves are left out
 * @returns YAML text
 * @example
 * fs.writeFileSync("redwinglift.yaml", exportConfiguration(configuration));
 */
export function exportConfiguration(document: ConfigurationDocument): string {
    const file = {
        formatVersion: DOCUMENT_FORMAT_VERSION,
        classes: sortItems(document.classes),
        accounts: sortItems(document.accounts),
        services: sortItems(document.services),
        endpointTraits: sortItems(document.endpointTraits),
    };
    return stringify(file, { aliasDuplicateObjects: false, lineWidth: 0 });
}

function sortItems(items: Readonly<Record<string, { readonly name: string }>>): Readonly<Record<string, unknown>> {
    const names = Object.keys(items).sort();
    return Object.fromEntries(names.map(name => [name, removeName(items[name] ?? {})]));
}

function removeName(item: object): Readonly<Record<string, unknown>> {
    return Object.fromEntries(Object.entries(item).filter(([field]) => field !== "name"));
}
