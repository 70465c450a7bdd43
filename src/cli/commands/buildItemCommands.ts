/**
 * @module Commands to set, list, show and remove items of one kind.
 */
import { err, ok, safeTry, type Result } from "neverthrow";
import { createFailure } from "../../base/createFailure";
import { type Failure, FailureKind } from "../../base/failure";
import type { AcceptedChange } from "../../model/configuration";
import { BASED_ON_OPTION, chooseBaseRevision, readItem, setItem } from "../_lib/changeItem";
import { createUsageFailure } from "../_lib/createUsageFailure";
import { formatTable } from "../_lib/formatTable";
import { type OptionParser, readOption } from "../_lib/readOption";
import type { CommandDefinition, CommandOptions, CommandOutput, Invocation } from "../commandDefinition";

/** One field of an item that is set by an option. */
export interface ItemField {
    /** Name of the option, in camelCase. */
    readonly option: string;
    readonly flag: string;
    readonly property: string;
    readonly description: string;
    readonly parse: OptionParser<unknown>;
    readonly expected: string;
}

/** A kind of items as the command line shows it. */
export interface ItemGroup {
    /** First word of the commands. */
    readonly word: string;
    /** Path of the collection. */
    readonly path: string;
    readonly description: string;
    readonly fields: readonly ItemField[];
    /** What a new item has for fields that no option sets. */
    readonly newItem: Readonly<Record<string, unknown>>;
    readonly exampleName: string;
    readonly setExample: string;
    readonly head: readonly string[];
    readonly buildRow: (item: Item) => readonly (string | number)[];
}

/** An item as the listener gives it. */
export type Item = Readonly<Record<string, unknown>> & { readonly name: string };

/**
 * Builds the commands of a kind of items.
 *
 * @param group - The kind
 * @returns `set`, `list`, `show` and `remove`
 * @example
 * buildItemCommands(CLASS_GROUP).map(command => command.name); //=> ["class set", "class list", ...]
 */
export function buildItemCommands(group: ItemGroup): readonly CommandDefinition[] {
    const { word, exampleName } = group;
    return [
        {
            name: `${word} set`,
            parameters: "<name>",
            description: `Create or change ${group.description}; fields that are not given stay as they are`,
            options: [...group.fields, BASED_ON_OPTION],
            examples: [`redwinglift ${word} set ${exampleName} ${group.setExample}`],
            run: invocation => setNamedItem(group, invocation),
        },
        {
            name: `${word} list`,
            description: `List every ${word}`,
            examples: [`redwinglift ${word} list`, `redwinglift ${word} list --json`],
            run: invocation => listItems(group, invocation),
        },
        {
            name: `${word} show`,
            parameters: "<name>",
            description: `Show ${group.description}`,
            examples: [`redwinglift ${word} show ${exampleName}`],
            run: invocation => showItem(group, invocation),
        },
        {
            name: `${word} remove`,
            parameters: "<name>",
            description: `Remove ${group.description}; refused while something refers to it`,
            options: [BASED_ON_OPTION],
            examples: [`redwinglift ${word} remove ${exampleName} --based-on 12`],
            run: invocation => removeItem(group, invocation),
        },
    ];
}

function setNamedItem(group: ItemGroup, invocation: Invocation): PromiseLike<Result<CommandOutput, Failure>> {
    const [name = ""] = invocation.words;
    return safeTry(async function* () {
        const given = yield* readFields(group, invocation.options);
        const client = yield* invocation.connect();
        const { revision, item } = yield* await readItem<Item>(client, group.path, name);
        const base = yield* chooseBaseRevision(invocation.options, revision);
        const value = { ...(item ?? { ...group.newItem, name }), ...given };
        const accepted = yield* await setItem(client, group.path, name, value, base);
        return ok<CommandOutput>({
            value: accepted,
            text: `${group.word} ${name} set at revision ${accepted.revision}`,
        });
    });
}

function readFields(group: ItemGroup, options: CommandOptions): Result<Readonly<Record<string, unknown>>, Failure> {
    const given: Record<string, unknown> = {};
    for (const field of group.fields) {
        const value = readOption(options, field.option, field.parse, field.expected);
        if (value.isErr()) {
            return err(value.error);
        }
        if (value.value !== undefined) {
            given[field.property] = value.value;
        }
    }
    return Object.keys(given).length > 0 || group.fields.length === 0
        ? ok(given)
        : err(
              createUsageFailure(
                  `Give at least one of ${group.fields.map(field => `--${field.flag.slice(2)}`).join(", ")}.`,
              ),
          );
}

function listItems(group: ItemGroup, invocation: Invocation): PromiseLike<Result<CommandOutput, Failure>> {
    return safeTry(async function* () {
        const client = yield* invocation.connect();
        const answer = yield* await client.readQuery<{ readonly items: readonly Item[] }>(group.path);
        const rows = [...answer.items].sort((left, right) => (left.name < right.name ? -1 : 1)).map(group.buildRow);
        return ok<CommandOutput>({ value: answer, text: formatTable(group.head, rows) });
    });
}

function showItem(group: ItemGroup, invocation: Invocation): PromiseLike<Result<CommandOutput, Failure>> {
    const [name = ""] = invocation.words;
    return safeTry(async function* () {
        const client = yield* invocation.connect();
        const { revision, item } = yield* await readItem<Item>(client, group.path, name);
        if (item === undefined) {
            return err(createFailure(FailureKind.NotFound, `There is no ${group.word} ${name}.`));
        }
        const rows = Object.entries(item).map(([field, value]) => [field, formatValue(value)]);
        return ok<CommandOutput>({ value: { revision, item }, text: formatTable(["field", "value"], rows) });
    });
}

function removeItem(group: ItemGroup, invocation: Invocation): PromiseLike<Result<CommandOutput, Failure>> {
    const [name = ""] = invocation.words;
    return safeTry(async function* () {
        const client = yield* invocation.connect();
        const { revision, item } = yield* await readItem<Item>(client, group.path, name);
        if (item === undefined) {
            return err(createFailure(FailureKind.NotFound, `There is no ${group.word} ${name}.`));
        }
        const base = yield* chooseBaseRevision(invocation.options, revision);
        const path = `${group.path}/${encodeURIComponent(name)}?basedOnRevision=${base}`;
        const accepted = yield* await client.sendCommand<AcceptedChange>("DELETE", path);
        return ok<CommandOutput>({
            value: accepted,
            text: `${group.word} ${name} removed at revision ${accepted.revision}`,
        });
    });
}

function formatValue(value: unknown): string {
    return typeof value === "string" ? value : JSON.stringify(value);
}
