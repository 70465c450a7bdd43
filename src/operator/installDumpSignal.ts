/**
 * @module Dumps on a signal, for when the operators' listener can't be reached.
 */
import type { Disposable } from "../base/disposableStore";
import { type Dump } from "../queries/collectDump";

/** The signal that asks for a dump. */
export const DUMP_SIGNAL = "SIGUSR2";

/**
 * Writes a dump, as one JSON line, whenever the process receives `SIGUSR2`.
 *
 * @param collect - Collects the dump
 * @param write - Takes the line (default: the standard error stream)
 * @returns Ends that when disposed
 * @example
 * owned.add(installDumpSignal(() => collectDump(dependencies)));
 */
export function installDumpSignal(
    collect: () => Dump,
    write: (line: string) => void = line => void process.stderr.write(`${line}\n`),
): Disposable {
    const handleSignal = () => write(JSON.stringify(collect()));
    process.on(DUMP_SIGNAL, handleSignal);
    return { dispose: () => void process.off(DUMP_SIGNAL, handleSignal) };
}
