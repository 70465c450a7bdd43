/**
 * @module The program, which `main.ts` loads and runs.
 */
import { randomBytes } from "node:crypto";
import fs from "node:fs";
import { createSystemClock } from "./base/createSystemClock";
import { installSignalHandlers } from "./base/installSignalHandlers";
import type { ProcessSignals } from "./base/processSignals";
import type { CliContext } from "./cli/cliContext";
import { ExitCode } from "./cli/exitCode";
import { runCli } from "./cli/runCli";

/** How long output and connections may take to close after the command has ended. */
const EXIT_GRACE_MS = 1_000;

/**
 * Runs the command of the process's arguments, and then ends the process.
 *
 * @param signals - The signals of the process; default: a command that handles them installs handlers when it runs
 * @example
 * await runProgram(installSignalHandlers());
 */
export async function runProgram(signals?: ProcessSignals): Promise<void> {
    const context = createContext(signals);
    const exitCode = await runCli(process.argv.slice(2), context).catch(error => reportFault(error, context));
    process.exitCode = exitCode;
    // Node gives signals their default meaning back before a process without work ends, but not at process.exit.
    process.once("beforeExit", () => process.exit(exitCode));
    // A peer that keeps its end of a connection open must not keep a finished program alive.
    setTimeout(() => process.exit(exitCode), EXIT_GRACE_MS).unref();
}

function createContext(signals: ProcessSignals | undefined): CliContext {
    return {
        environment: process.env,
        clock: createSystemClock(),
        programVersion: process.env["REDWINGLIFT_VERSION"] ?? "development",
        write: text => void process.stdout.write(text),
        writeError: text => void process.stderr.write(text),
        readFile: file => fs.readFileSync(file, "utf8"),
        createRandomBytes: count => randomBytes(count),
        runServe: async settings => {
            const { runServe } = await import("./serve/runServe");
            return runServe(settings, signals ?? installSignalHandlers());
        },
        runDev: async options => (await import("./dev/runDev")).runDev(options),
    };
}

/** Reports an error that the command line hasn't handled; gives the exit code. */
function reportFault(error: unknown, { writeError }: CliContext): ExitCode {
    writeError(`internal: ${error instanceof Error ? error.message : "unknown error"}\n`);
    return ExitCode.Internal;
}
