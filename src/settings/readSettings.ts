/**
 * @module Reads and validates the settings of a node.
 */
import fs from "node:fs";
import { err, ok, type Result } from "neverthrow";
import { createFailure } from "../base/createFailure";
import { type Failure, FailureKind } from "../base/failure";
import { checkSettingValues, type ReadFile } from "./_lib/checkSettingValues";
import {
    collectSettingTexts,
    type Environment,
    type Flags,
    SettingSource,
    type SettingText,
} from "./collectSettingTexts";
import { SETTING_DEFINITIONS, type SettingDefinition, type SettingValues } from "./settingDefinitions";
import { toFlagName, toVariableName } from "./settingNames";
import type { ListenerSettings, Settings, TlsFiles } from "./settings";

/** The values after all checks passed, when no required setting is missing. */
type CompleteValues = Required<SettingValues>;

/**
 * Reads and validates all settings. Flags take precedence over environment variables.
 *
 * @param flags - Flags by name in camelCase
 * @param environment - Environment variables
 * @param options - `readFile`: reads a file as text (default: from the file system)
 * @returns The settings, or `InvalidSettings` whose `details.problems` lists all problems, one line each
 * @example
 * const settings = readSettings({ nodeId: "node-1" }, process.env);
 */
export function readSettings(
    flags: Flags,
    environment: Environment,
    options: { readonly readFile?: ReadFile } = {},
): Result<Settings, Failure> {
    const readFile = options.readFile ?? (file => fs.readFileSync(file, "utf8"));
    const collected = collectSettingTexts(flags, environment);
    const parsed = collected.texts.map(parseText);
    const values = Object.fromEntries(parsed.map(({ name, value }) => [name, value])) as SettingValues;
    const checked = checkSettingValues(values, readFile);
    const problems = [...collected.problems, ...parsed.flatMap(setting => setting.problems), ...checked.problems];
    if (problems.length > 0) {
        const message = `${problems.length} ${problems.length === 1 ? "setting is" : "settings are"} invalid.`;
        return err(createFailure(FailureKind.InvalidSettings, message, { details: { problems } }));
    }
    return ok(buildSettings(values as CompleteValues, checked.operatorKeyHashes));
}

function parseText(setting: SettingText): {
    readonly name: string;
    readonly value: unknown;
    readonly problems: readonly string[];
} {
    const { name, text } = setting;
    const definition: SettingDefinition = SETTING_DEFINITIONS[name];
    if (text === undefined) {
        const problem = `--${toFlagName(name)} or ${toVariableName(name)}: must be given`;
        return { name, value: undefined, problems: definition.isRequired === true ? [problem] : [] };
    }
    const result = definition.schema.safeParse(text);
    const label = setting.source === SettingSource.Variable ? toVariableName(name) : `--${toFlagName(name)}`;
    return result.success
        ? { name, value: result.data, problems: [] }
        : { name, value: undefined, problems: [`${label}: ${result.error.issues[0]?.message ?? "is not valid"}`] };
}

function buildSettings(values: CompleteValues, operatorKeyHashes: readonly string[]): Settings {
    return {
        nodeId: values.nodeId,
        vmId: values.vmId,
        region: values.region,
        failureDomain: values.failureDomain,
        callers: buildListener(
            values.callerAddress,
            values.callerPort,
            buildTls(values.callerCertificateFile, values.callerKeyFile),
        ),
        callerLimits: {
            bodyBytes: values.callerBodyBytes,
            headerMs: values.callerHeaderMs,
            idleMs: values.callerIdleMs,
            connections: values.callerConnections,
            openRequests: values.callerOpenRequests,
        },
        operators: buildListener(
            values.operatorAddress,
            values.operatorPort,
            buildTls(values.operatorCertificateFile, values.operatorKeyFile),
        ),
        operatorKeyHashes,
        nodeLink: buildListener(
            values.nodeAddress,
            values.nodePort,
            buildTls(values.nodeCertificateFile, values.nodeKeyFile, values.nodeAuthorityFile),
        ),
        platform: {
            tableUrl: values.platformTableUrl,
            objectsUrl: values.platformObjectsUrl,
            cloudUrl: values.platformCloudUrl,
            vmListUrl: values.platformVmListUrl,
        },
        logLevel: values.logLevel,
        logFormat: values.logFormat,
        statsd:
            values.statsdAddress === undefined ? undefined : { address: values.statsdAddress, port: values.statsdPort },
        drainMs: values.drainMs,
    };
}

function buildListener(address: string, port: number, tls: TlsFiles | undefined): ListenerSettings {
    return { address, port, tls };
}

function buildTls(
    certificateFile: string | undefined,
    keyFile: string | undefined,
    authorityFile?: string,
): TlsFiles | undefined {
    return certificateFile === undefined || keyFile === undefined
        ? undefined
        : { certificateFile, keyFile, authorityFile };
}
