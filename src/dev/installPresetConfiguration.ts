/**
 * @module The configuration of a preset, committed as an operator would.
 */
import { createHash } from "node:crypto";
import type { Result } from "neverthrow";
import type { Failure } from "../base/failure";
import { type AcceptedChange, type ItemChange, ItemKind } from "../model/configuration";
import type { ConfigurationClient } from "../tasks/configuration/configurationClient";
import type { DeploymentPreset } from "./deploymentPreset";

/**
 * Commits the classes, accounts and services of a preset as one change on an empty configuration.
 *
 * @param preset - The preset
 * @param configuration - Handle of a node's configuration task
 * @param accountKey - Bearer key of the first account; the others have `{accountKey}-{account}`
 * @returns The accepted change, or why it was refused
 * @example
 * const installed = await installPresetConfiguration(preset, node.configuration, "rwl_dev_key");
 */
export function installPresetConfiguration(
    preset: DeploymentPreset,
    configuration: ConfigurationClient,
    accountKey: string,
): Promise<Result<AcceptedChange, Failure>> {
    const items: ItemChange[] = [
        ...preset.classes.map(value => ({ kind: ItemKind.Class as const, name: value.name, value })),
        ...preset.accounts.map((account, index) => ({
            kind: ItemKind.Account as const,
            name: account.name,
            value: { ...account, keyHashes: [hashKey(index === 0 ? accountKey : `${accountKey}-${account.name}`)] },
        })),
        ...[preset.modelService, preset.applicationService].map(value => ({
            kind: ItemKind.Service as const,
            name: value.name,
            value,
        })),
    ];
    return configuration.commitChange({ basedOnRevision: configuration.readCurrent().revision, items });
}

function hashKey(key: string): string {
    return createHash("sha256").update(key).digest("hex");
}
