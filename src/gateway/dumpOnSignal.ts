/**
 * @module The dump of a gateway's state on request.
 */
import { collectDump } from "../queries/collectDump";
import type { GatewayParts } from "./gatewayParts";

const DUMP_SIGNAL = "SIGUSR2";

/**
 * Writes a dump of the state to the standard error stream, as one line of JSON, at each `SIGUSR2`.
 *
 * @param parts - The parts whose state is shown: configuration, endpoints and peers
 * @param write - Where the line goes
 * @example
 * dumpOnSignal(parts);
 */
export function dumpOnSignal(
    { clock, settings, configuration, directory, peers }: GatewayParts,
    write: (line: string) => void = line => void process.stderr.write(line),
): void {
    const dependencies = {
        clock,
        node: { nodeId: settings.nodeName },
        listDumpSources: () => [configuration, directory, peers],
    };
    process.on(DUMP_SIGNAL, () => write(`${JSON.stringify(collectDump(dependencies))}\n`));
}
