/**
 * @module The dump of a process's state on request.
 */

const DUMP_SIGNAL = "SIGUSR2";

/**
 * Writes a dump to the standard error stream, as one line of JSON, at each `SIGUSR2`.
 *
 * @param readDump - Gives the dump, ready for JSON
 * @param write - Where the line goes
 * @example
 * writeDumpOnSignal(() => node.dumpState());
 */
export function writeDumpOnSignal(
    readDump: () => unknown,
    write: (line: string) => void = line => void process.stderr.write(line),
): void {
    process.on(DUMP_SIGNAL, () => write(`${JSON.stringify(readDump())}\n`));
}
