/**
 * @module The configuration of a bench, written as an operator would.
 */
import type { HttpTarget } from "../../src/adapters/_lib/httpTarget";
import { createHttpTable } from "../../src/adapters/httpTable/createHttpTable";
import { createRandom } from "../../src/base/createRandom";
import { createSystemClock } from "../../src/base/createSystemClock";
import { FailureError } from "../../src/base/failureError";
import type { DeploymentPreset } from "../../src/dev/deploymentPreset";
import { installPresetConfiguration } from "../../src/dev/installPresetConfiguration";
import { validateConfiguration } from "../../src/queries/validateConfiguration";
import { createConfigurationTask } from "../../src/tasks/configuration/createConfigurationTask";

/**
 * Commits a preset to the table of a platform stand-in.
 *
 * @param platform - Where the platform is
 * @param preset - Classes, accounts and services
 * @param accountKey - Bearer key of the first account
 * @throws {FailureError} If the change was refused
 * @example
 * await installBenchConfiguration(embedded.platform, preset, "rwl_bench");
 */
export async function installBenchConfiguration(
    platform: HttpTarget,
    preset: DeploymentPreset,
    accountKey: string,
): Promise<void> {
    const table = createHttpTable(platform);
    const configuration = createConfigurationTask({
        nodeId: "bench",
        table,
        clock: createSystemClock(),
        random: createRandom(1),
        validate: validateConfiguration,
    });
    await configuration.whenReady;
    const installed = await installPresetConfiguration(preset, configuration, accountKey);
    configuration.dispose();
    table.dispose();
    if (installed.isErr()) {
        throw new FailureError(installed.error);
    }
}
