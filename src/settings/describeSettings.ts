/**
 * @module Describes the effective settings, without secrets.
 */
import { collectSettingTexts, type Environment, type Flags, SettingSource } from "./collectSettingTexts";
import { SETTING_DEFINITIONS, type SettingDefinition } from "./settingDefinitions";
import { toFlagName, toVariableName } from "./settingNames";

/** One setting as shown to operators. */
export interface EffectiveSetting {
    readonly flag: string;
    readonly variable: string;
    /** `[hidden]` for a secret, empty if unset. */
    readonly value: string;
    readonly source: SettingSource;
}

const HIDDEN = "[hidden]";

/**
 * Describes every setting with its effective value and the source of that value.
 *
 * @param flags - Flags by name in camelCase
 * @param environment - Environment variables
 * @returns One entry per setting; secrets are hidden
 * @example
 * describeSettings({}, process.env).map(setting => `${setting.flag}=${setting.value}`);
 */
export function describeSettings(flags: Flags, environment: Environment): readonly EffectiveSetting[] {
    return collectSettingTexts(flags, environment).texts.map(({ name, source, text }) => {
        const definition: SettingDefinition = SETTING_DEFINITIONS[name];
        const isHidden = definition.isSecret === true && source !== SettingSource.Unset;
        const value = isHidden ? HIDDEN : (text ?? "");
        return { flag: `--${toFlagName(name)}`, variable: toVariableName(name), value, source };
    });
}
