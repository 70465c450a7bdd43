/**
 * @module Commands that run until they are told to end.
 */
import { err, ok, type Result, safeTry } from "neverthrow";
import { createFailure } from "../../base/createFailure";
import { type Failure, FailureKind } from "../../base/failure";
import { LogLevel } from "../../base/log/log";
import { PresetName } from "../../dev/deploymentPreset";
import { describeSettings } from "../../settings/describeSettings";
import { readSettings } from "../../settings/readSettings";
import { SETTING_DEFINITIONS, type SettingDefinition } from "../../settings/settingDefinitions";
import { toFlagName, toVariableName } from "../../settings/settingNames";
import type { Settings } from "../../settings/settings";
import { formatTable } from "../_lib/formatTable";
import { parseInteger, readOption } from "../_lib/readOption";
import type { CliContext } from "../cliContext";
import type { CommandDefinition, CommandOutput, CommandOptions, OptionDefinition } from "../commandDefinition";

/** Options of the command line itself, which are no settings. */
const OWN_OPTIONS: ReadonlySet<string> = new Set([
    "--",
    "help",
    "h",
    "json",
    "operator",
    "printSettings",
    "version",
    "v",
]);

/** `serve` and `dev`. */
export const PROGRAM_COMMANDS: readonly CommandDefinition[] = [
    {
        name: "serve",
        description: "Run a node; every setting is a flag or a variable, flags go first",
        options: [
            ...Object.keys(SETTING_DEFINITIONS).map(describeOption),
            { flag: "--print-settings", description: "Print the effective settings, secrets hidden, and end" },
        ],
        examples: [
            "redwinglift serve --node-id node-1 --vm-id vm-1 --region hobart --failure-domain hobart-1 --operator-key-hashes-file hashes.txt --platform-table-url https://10.0.0.9 --platform-objects-url https://10.0.0.9 --platform-cloud-url https://10.0.0.9 --platform-vm-list-url https://10.0.0.9",
            "REDWINGLIFT_NODE_ID=node-1 redwinglift serve --print-settings",
        ],
        takesAnyOption: true,
        run: ({ words, options, context }) =>
            safeTry(async function* () {
                const flags = pickFlags(options);
                if (options["printSettings"] === true) {
                    const shown = describeSettings(flags, context.environment);
                    const rows = shown.map(setting => [setting.flag, setting.value, setting.source]);
                    context.write(
                        `${options["json"] === undefined ? formatTable(["setting", "value", "source"], rows) : JSON.stringify(shown)}\n`,
                    );
                }
                const settings = yield* readServeSettings(words, flags, context);
                const exitCode = options["printSettings"] === true ? 0 : await context.runServe(settings);
                return ok<CommandOutput>({ value: undefined, text: "", exitCode });
            }),
    },
    {
        name: "dev",
        description: "Run platform, runners, application runners and nodes in one process on loopback",
        options: [
            {
                flag: "--preset <name>",
                description: `Sizes to imitate: ${Object.values(PresetName).join(", ")} (default: small)`,
            },
            { flag: "--caller-port <port>", description: "Callers' port of the first node; the others follow" },
            { flag: "--operator-port <port>", description: "Operators' port of the first node; the others follow" },
            { flag: "--log-level <level>", description: "debug, info, warn or error (default: warn)" },
        ],
        examples: ["redwinglift dev", "redwinglift dev --preset derwent --caller-port 8080"],
        run: ({ options, context }) =>
            safeTry(async function* () {
                const preset = yield* readOption(options, "preset", createChoice(PresetName), "the name of a preset");
                const callerPort = yield* readOption(options, "callerPort", parseInteger, "a port");
                const operatorPort = yield* readOption(options, "operatorPort", parseInteger, "a port");
                const logLevel = yield* readOption(options, "logLevel", createChoice(LogLevel), "a log level");
                const print = (line: string) => context.write(`${line}\n`);
                const exitCode = await context.runDev({ preset, callerPort, operatorPort, logLevel, print });
                return ok<CommandOutput>({ value: undefined, text: "", exitCode });
            }),
    },
];

function describeOption(name: string): OptionDefinition {
    const definition: SettingDefinition = SETTING_DEFINITIONS[name as keyof typeof SETTING_DEFINITIONS];
    const value = definition.isSwitch === true ? "" : " <value>";
    const shownDefault = definition.defaultText === undefined ? "" : ` (default: ${definition.defaultText})`;
    return {
        flag: `--${toFlagName(name)}${value}`,
        description: `${definition.description}${shownDefault} [${toVariableName(name)}]`,
    };
}

function readServeSettings(
    words: readonly string[],
    flags: CommandOptions,
    context: CliContext,
): Result<Settings, Failure> {
    const settings = readSettings(flags, context.environment, { readFile: context.readFile });
    if (words.length === 0) {
        return settings;
    }
    const others = settings.isErr() ? (settings.error.details?.["problems"] as readonly string[]) : [];
    const problems = [...words.map(word => `${word}: not expected`), ...others];
    return err(createFailure(FailureKind.InvalidSettings, "Settings are not valid.", { details: { problems } }));
}

function pickFlags(options: CommandOptions): CommandOptions {
    return Object.fromEntries(Object.entries(options).filter(([name]) => !OWN_OPTIONS.has(name)));
}

function createChoice<T extends string>(values: Readonly<Record<string, T>>): (text: string) => T | undefined {
    return text => Object.values(values).find(value => value === text);
}
