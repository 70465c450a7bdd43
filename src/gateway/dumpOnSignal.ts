/**
 * @module The dump of a gateway's state on request.
 */
import { collectDump } from "../queries/collectDump";
import { writeDumpOnSignal } from "../serve/writeDumpOnSignal";
import type { GatewayParts } from "./gatewayParts";

/**
 * Writes a dump of the configuration, the endpoints and the peers at each `SIGUSR2`.
 *
 * @param parts - The parts whose state is shown
 * @param write - Where the line goes; absent: the standard error stream
 * @example
 * dumpOnSignal(parts);
 */
export function dumpOnSignal(parts: GatewayParts, write?: (line: string) => void): void {
    const { clock, settings, configuration, directory, peers } = parts;
    const dependencies = {
        clock,
        node: { nodeId: settings.nodeName },
        listDumpSources: () => [configuration, directory, peers],
    };
    writeDumpOnSignal(() => collectDump(dependencies), write);
}
