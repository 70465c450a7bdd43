/**
 * @module Collects the unparsed texts of settings from flags, environment variables and defaults.
 */
import { SETTING_DEFINITIONS, type SettingDefinition, type SettingName } from "./settingDefinitions";
import { toFlagName, toVariableName, VARIABLE_PREFIX } from "./settingNames";

/** Flags by name in camelCase, as the command line parser returns them; the value of a repeated flag is an array. */
export type Flags = Readonly<Record<string, unknown>>;

/** Environment variables by name. */
export type Environment = Readonly<Record<string, string | undefined>>;

/** Where the text of a setting comes from. */
export enum SettingSource {
    Flag = "flag",
    Variable = "variable",
    /** The default of the setting's definition. */
    Default = "default",
    /** Not given, and without a default. */
    Unset = "unset",
}

/** The text of a setting, before it is parsed and checked. */
export interface SettingText {
    readonly name: SettingName;
    readonly source: SettingSource;
    readonly text: string | undefined;
}

/** The texts of all settings, and problems with unknown or repeated flags and variables. */
export interface CollectedSettings {
    readonly texts: readonly SettingText[];
    readonly problems: readonly string[];
}

/** Variables that begin with the prefix but are not settings of `redwinglift serve`. */
const OTHER_VARIABLES: ReadonlySet<string> = new Set([
    "REDWINGLIFT_INVARIANTS",
    "REDWINGLIFT_OPERATOR_AUTHORITY_FILE",
    "REDWINGLIFT_OPERATOR_KEY",
    "REDWINGLIFT_OPERATOR_URL",
    "REDWINGLIFT_VERSION",
]);

/**
 * Collects the text of each setting; a flag takes precedence over a variable, a variable over the default.
 *
 * @param flags - Flags by name in camelCase
 * @param environment - Environment variables
 * @returns The texts, and one problem for each unknown flag or variable and each repeated flag
 * @example
 * collectSettingTexts({ callerPort: "0" }, process.env);
 */
export function collectSettingTexts(flags: Flags, environment: Environment): CollectedSettings {
    const names = Object.keys(SETTING_DEFINITIONS) as SettingName[];
    return {
        texts: names.map(name => collectText(name, flags, environment)),
        problems: [...listUnknownFlags(flags), ...listRepeatedFlags(flags), ...listUnknownVariables(environment)],
    };
}

function collectText(name: SettingName, flags: Flags, environment: Environment): SettingText {
    const flag = flags[name];
    if (flag !== undefined && !Array.isArray(flag)) {
        return { name, source: SettingSource.Flag, text: String(flag) };
    }
    const variable = environment[toVariableName(name)];
    if (variable !== undefined && variable !== "") {
        return { name, source: SettingSource.Variable, text: variable };
    }
    const { defaultText }: SettingDefinition = SETTING_DEFINITIONS[name];
    const source = defaultText === undefined ? SettingSource.Unset : SettingSource.Default;
    return { name, source, text: defaultText };
}

function listUnknownFlags(flags: Flags): readonly string[] {
    return Object.keys(flags)
        .filter(name => name !== "--" && !Object.hasOwn(SETTING_DEFINITIONS, name))
        .map(name => `--${toFlagName(name)}: no such flag`);
}

function listRepeatedFlags(flags: Flags): readonly string[] {
    return Object.keys(flags)
        .filter(name => name !== "--" && Array.isArray(flags[name]))
        .map(name => `--${toFlagName(name)}: given more than once`);
}

function listUnknownVariables(environment: Environment): readonly string[] {
    const known = new Set(Object.keys(SETTING_DEFINITIONS).map(toVariableName));
    return Object.keys(environment)
        .filter(name => name.startsWith(VARIABLE_PREFIX) && !known.has(name) && !OTHER_VARIABLES.has(name))
        .map(name => `${name}: no such variable`);
}
