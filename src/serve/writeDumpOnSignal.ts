/**
 * @module The dump of a process's state on request.
 */
import { ControlSignal, type ProcessSignals } from "../base/processSignals";

/**
 * Writes a dump to the standard error stream, as one line of JSON, at each `SIGUSR2`.
 *
 * @param signals - The signals of the process
 * @param readDump - Gives the dump, ready for JSON
 * @param write - Where the line goes
 * @example
 * writeDumpOnSignal(signals, () => node.dumpState());
 */
export function writeDumpOnSignal(
    signals: Pick<ProcessSignals, "setHandler">,
    readDump: () => unknown,
    write: (line: string) => void = line => void process.stderr.write(line),
): void {
    signals.setHandler(ControlSignal.Dump, () => write(`${JSON.stringify(readDump())}\n`));
}
