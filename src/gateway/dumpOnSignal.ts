/**
 * @module Dumps the state of a gateway on a signal.
 */
import { collectDump } from "../queries/collectDump";
import { writeDumpOnSignal } from "../serve/writeDumpOnSignal";
import { FailureOwner } from "./createFailureReporter";
import type { GatewayComponents } from "./gatewayComponents";

/**
 * Installs a handler that writes a dump of the configuration, the endpoints, the news and the quarantine at each `SIGUSR2`.
 *
 * @param components - The components whose state is dumped
 * @param write - Writes the line; default: to the standard error stream
 * @example
 * dumpOnSignal(components);
 */
export function dumpOnSignal(components: GatewayComponents, write?: (line: string) => void): void {
    const { clock, settings, configuration, directory, news, quarantine, rollouts, limits, reportFailure } = components;
    const dependencies = {
        clock,
        node: { nodeId: settings.nodeName },
        listDumpSources: () => [configuration, directory, news, quarantine, rollouts, limits],
    };
    const readDump = () => {
        try {
            return collectDump(dependencies);
        } catch (error) {
            reportFailure(FailureOwner.Dump, error);
            return {};
        }
    };
    writeDumpOnSignal(readDump, write);
}
