/**
 * @module Reads configuration files.
 */
import { err, ok, type Result } from "neverthrow";
import { parseDocument } from "yaml";
import type { Failure } from "../base/failure";
import { applyChange } from "../decisions/configuration/applyChange";
import { createEmptyConfiguration } from "../decisions/configuration/createEmptyConfiguration";
import { type ItemChange, ItemKind } from "../model/configuration";
import { LARGEST_FILE_CHARACTERS } from "./_lib/constants";
import { createConfigurationFailure } from "./_lib/createConfigurationFailure";
import { type ConfigurationDocument, DOCUMENT_FORMAT_VERSION } from "./configurationDocument";
import { parseItem } from "./parseItem";

type Section = keyof ConfigurationDocument;

const SECTION_KINDS: Readonly<Record<Section, ItemKind>> = {
    classes: ItemKind.Class,
    accounts: ItemKind.Account,
    services: ItemKind.Service,
    endpointTraits: ItemKind.EndpointTraits,
};

const VERSION_FIELD = "formatVersion";

interface ParsedSection {
    readonly items: readonly ItemChange[];
    readonly problems: readonly string[];
}

/**
 * Parses a configuration file: a YAML document with the sections `classes`, `accounts`, `services` and
 * `endpointTraits`, each from name to item. An absent section is empty. Items are checked by themselves only; see
 * `validateConfiguration` for the whole.
 *
 * @param text - The file's text
 * @returns The items, or `InvalidConfiguration` whose `details.problems` lists every problem, one line each
 * @example
 * parseConfigurationFile("formatVersion: 1\nservices:\n  assistant: { kind: model, version: v1 }\n");
 */
export function parseConfigurationFile(text: string): Result<ConfigurationDocument, Failure> {
    if (text.length > LARGEST_FILE_CHARACTERS) {
        return err(createConfigurationFailure([`the file has over ${LARGEST_FILE_CHARACTERS} characters`]));
    }
    return parseYaml(text).andThen(buildDocument);
}

function parseYaml(text: string): Result<Readonly<Record<string, unknown>>, Failure> {
    try {
        const document = parseDocument(text, { prettyErrors: true, uniqueKeys: true, logLevel: "silent" });
        const problems = [...document.errors, ...document.warnings].map(error => formatFirstLine(error.message));
        if (problems.length > 0) {
            return err(createConfigurationFailure(problems));
        }
        const value: unknown = document.toJS({ maxAliasCount: 0 });
        return isMap(value) ? ok(value) : err(createConfigurationFailure(["the file must be a map of sections"]));
    } catch (error) {
        const reason = error instanceof Error ? formatFirstLine(error.message) : "unknown error";
        return err(createConfigurationFailure([reason]));
    }
}

function buildDocument(file: Readonly<Record<string, unknown>>): Result<ConfigurationDocument, Failure> {
    const sections = (Object.keys(SECTION_KINDS) as Section[]).map(section => parseSection(section, file[section]));
    const problems = [...listTopProblems(file), ...sections.flatMap(section => section.problems)];
    if (problems.length > 0) {
        return err(createConfigurationFailure(problems));
    }
    const items = sections.flatMap(section => section.items);
    const { classes, accounts, services, endpointTraits } = applyChange(createEmptyConfiguration(), {
        revision: 0,
        items,
    });
    return ok({ classes, accounts, services, endpointTraits });
}

function listTopProblems(file: Readonly<Record<string, unknown>>): readonly string[] {
    const unknown = Object.keys(file).filter(key => key !== VERSION_FIELD && !Object.hasOwn(SECTION_KINDS, key));
    const problems = unknown.map(key => `${formatFirstLine(key)}: no such section`);
    return file[VERSION_FIELD] === DOCUMENT_FORMAT_VERSION
        ? problems
        : [`${VERSION_FIELD}: must be ${DOCUMENT_FORMAT_VERSION}`, ...problems];
}

function parseSection(section: Section, value: unknown): ParsedSection {
    if (isAbsent(value)) {
        return { items: [], problems: [] };
    }
    if (!isMap(value)) {
        return { items: [], problems: [`${section}: must be a map from names to items`] };
    }
    const results = Object.entries(value).map(([name, item]) =>
        parseItem(SECTION_KINDS[section], name, item, `${section}.${formatFirstLine(name)}`),
    );
    return {
        items: results.flatMap(result => (result.isOk() ? [result.value] : [])),
        problems: results.flatMap(result => (result.isErr() ? result.error : [])),
    };
}

function isMap(value: unknown): value is Readonly<Record<string, unknown>> {
    return typeof value === "object" && !isAbsent(value) && Object.getPrototypeOf(value) === Object.prototype;
}

function isAbsent(value: unknown): boolean {
    return (value ?? undefined) === undefined; // an empty YAML section is null
}

function formatFirstLine(text: string): string {
    return text.split(/[\r\n]/, 1)[0] ?? "";
}
