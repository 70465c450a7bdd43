/**
 * @module Dumps the state of a gateway on a signal.
 */
import type { DumpSource } from "../../base/dump";
import type { ProcessSignals } from "../../base/processSignals";
import { collectDump } from "../../queries/collectDump";
import { writeDumpOnSignal } from "../../serve/writeDumpOnSignal";
import { FailureOwner } from "./createFailureReporter";
import type { GatewayComponents } from "../gatewayComponents";

/**
 * Installs a handler that writes a dump of the configuration, the endpoints, the news, the quarantine and the listeners at
 * each `SIGUSR2`.
 *
 * @param components - The components whose state is dumped
 * @param listeners - The state of its listeners
 * @param signals - The signals of the process
 * @param write - Writes the line; default: to the standard error stream
 * @example
 * dumpOnSignal(components, listeners, signals);
 */
export function dumpOnSignal(
    components: GatewayComponents,
    listeners: DumpSource,
    signals: Pick<ProcessSignals, "setHandler">,
    write?: (line: string) => void,
): void {
    const {
        clock,
        settings,
        configuration,
        directory,
        news,
        quarantine,
        rollouts,
        limits,
        evacuations,
        coldEndpoints,
        admission,
        reportFailure,
    } = components;
    const dependencies = {
        clock,
        node: { nodeId: settings.nodeName },
        listDumpSources: () => [
            configuration,
            directory,
            news,
            quarantine,
            rollouts,
            limits,
            evacuations,
            coldEndpoints,
            admission,
            listeners,
        ],
    };
    const readDump = () => {
        try {
            return collectDump(dependencies);
        } catch (error) {
            reportFailure(FailureOwner.Dump, error);
            return {};
        }
    };
    writeDumpOnSignal(signals, readDump, write);
}
