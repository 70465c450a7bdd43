/**
 * @module The dump of a gateway's state on request.
 */
import { collectDump } from "../queries/collectDump";
import { writeDumpOnSignal } from "../serve/writeDumpOnSignal";
import type { GatewayComponents } from "./gatewayComponents";

/**
 * Writes a dump of the configuration, the endpoints and the peers at each `SIGUSR2`.
 *
 * @param components - The parts whose state is shown
 * @param write - Where the line goes; absent: the standard error stream
 * @example
 * dumpOnSignal(parts);
 */
export function dumpOnSignal(components: GatewayComponents, write?: (line: string) => void): void {
    const { clock, settings, configuration, directory, peers } = components;
    const dependencies = {
        clock,
        node: { nodeId: settings.nodeName },
        listDumpSources: () => [configuration, directory, peers],
    };
    writeDumpOnSignal(() => collectDump(dependencies), write);
}
