/**
 * @module Starts a program of this project for a bench and waits until it says where it listens.
 */
import { type ChildProcess, spawn } from "node:child_process";
import readline from "node:readline";

/** A running program. */
export interface StartedProgram {
    readonly processId: number;
    /** The first JSON line that `isReady` accepted. */
    readonly announcement: Readonly<Record<string, unknown>>;
    /** Sends a signal and waits for the end. */
    stop(signal?: NodeJS.Signals): Promise<void>;
    /** Sends a signal only. */
    signal(signal: NodeJS.Signals): void;
}

/** How a program is started. */
export interface ProgramOptions {
    readonly arguments: readonly string[];
    readonly environment?: Readonly<Record<string, string>>;
    /** Picks the line that announces readiness, among JSON lines of both output streams. */
    readonly isReady: (line: Readonly<Record<string, unknown>>) => boolean;
    /** Takes every line, for troubleshooting. */
    readonly handleLine?: (line: string) => void;
}

/**
 * Starts a program.
 *
 * @param executable - Path of the executable
 * @param options - Arguments, environment and the line that announces readiness
 * @returns The running program; rejects if it ends before it is ready
 * @example
 * const standins = await startProgram("dist/redwinglift-standins", { arguments: [], isReady: line => "platform" in line });
 */
export function startProgram(executable: string, options: ProgramOptions): Promise<StartedProgram> {
    const child = spawn(executable, options.arguments, {
        env: { ...process.env, ...options.environment },
        stdio: ["ignore", "pipe", "pipe"],
    });
    const ended = new Promise<void>(resolve => child.once("exit", () => resolve()));
    return new Promise((resolve, reject) => {
        const lastLines: string[] = [];
        const handleLine = (line: string) => {
            lastLines.push(line);
            lastLines.splice(0, lastLines.length - 20);
            options.handleLine?.(line);
            const parsed = parseLine(line);
            if (parsed !== undefined && options.isReady(parsed)) {
                resolve(buildStarted(child, ended, parsed));
            }
        };
        [child.stdout, child.stderr].forEach(stream =>
            readline.createInterface({ input: stream }).on("line", handleLine),
        );
        child.once("error", reject);
        child.once("exit", code => reject(new Error(`${executable} ended with ${code}:\n${lastLines.join("\n")}`)));
    });
}

function buildStarted(
    child: ChildProcess,
    ended: Promise<void>,
    announcement: Readonly<Record<string, unknown>>,
): StartedProgram {
    return {
        processId: child.pid ?? 0,
        announcement,
        signal: signal => void child.kill(signal),
        stop: (signal = "SIGKILL") => {
            child.kill(signal);
            return ended;
        },
    };
}

function parseLine(line: string): Readonly<Record<string, unknown>> | undefined {
    if (!line.startsWith("{")) {
        return undefined;
    }
    try {
        return JSON.parse(line) as Readonly<Record<string, unknown>>;
    } catch {
        return undefined;
    }
}
