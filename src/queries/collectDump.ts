/**
 * @module Dumps of the whole process.
 */
import type { Clock } from "../base/clock";
import type { DumpSource } from "../base/dump";
import type { OperatorDependencies } from "../operator/operatorDependencies";
import { redactState } from "./_lib/redactState";

type NodeDescription = OperatorDependencies["node"];

/** What is dumped. */
export interface DumpDependencies {
    readonly clock: Clock;
    readonly node: Partial<NodeDescription> & Pick<NodeDescription, "nodeId">;
    readonly listDumpSources: () => readonly DumpSource[];
}

/** The state of a process. */
export interface Dump {
    readonly nodeId: string;
    /** Epoch milliseconds. */
    readonly takenAtWallMs: number;
    readonly residentBytes: number;
    /** What each task shows, by its name. */
    readonly tasks: Readonly<Record<string, unknown>>;
}

/**
 * Collects the state of every task. A task that fails to show its state is named with its error; the others are shown.
 * Keys, key hashes and bodies are hidden wherever they stand.
 *
 * @param dependencies - This node and its tasks
 * @param options - `task`: only the tasks of that name
 * @returns The dump, ready for JSON
 * @example
 * JSON.stringify(collectDump(dependencies));
 */
export function collectDump(dependencies: DumpDependencies, options: { readonly task?: string } = {}): Dump {
    const sources = dependencies.listDumpSources();
    const wanted = sources.filter(source => options.task === undefined || source.name === options.task);
    const tasks = wanted.map(source => [source.name, readState(() => source.dumpState())] as const);
    return {
        nodeId: dependencies.node.nodeId,
        takenAtWallMs: dependencies.clock.readWallMs(),
        residentBytes: process.memoryUsage.rss(),
        tasks: Object.fromEntries(tasks),
    };
}

function readState(dumpState: () => unknown): unknown {
    try {
        return redactState(dumpState());
    } catch (error) {
        return { dumpFailed: error instanceof Error ? error.message : "unknown error" };
    }
}
