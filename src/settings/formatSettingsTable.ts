/**
 * @module Formats the table of `docs/SETTINGS.md`.
 */
import { SETTING_DEFINITIONS, type SettingDefinition } from "./settingDefinitions";
import { toFlagName, toVariableName } from "./settingNames";

/**
 * Formats all settings as a Markdown table.
 *
 * @returns The lines of the table, including its header
 * @example
 * formatSettingsTable().join("\n");
 */
export function formatSettingsTable(): readonly string[] {
    const definitions: Readonly<Record<string, SettingDefinition>> = SETTING_DEFINITIONS;
    const rows = Object.entries(definitions).map(([name, { description, defaultText, isRequired, isSecret }]) => {
        const shown = defaultText === undefined ? (isRequired === true ? "required" : "") : `\`${defaultText}\``;
        const note = isSecret === true ? " (never shown)" : "";
        return `| \`--${toFlagName(name)}\` | \`${toVariableName(name)}\` | ${shown} | ${description}${note} |`;
    });
    return ["| flag | variable | default | meaning |", "|---|---|---|---|", ...rows];
}
