/**
 * @module The program's entry.
 */
import { randomBytes } from "node:crypto";
import fs from "node:fs";
import { createSystemClock } from "./base/createSystemClock";
import type { CliContext } from "./cli/cliContext";
import { ExitCode } from "./cli/exitCode";
import { runCli } from "./cli/runCli";

/** How long output and connections may take to close after the command has ended. */
const EXIT_GRACE_MS = 1_000;

const context: CliContext = {
    environment: process.env,
    clock: createSystemClock(),
    programVersion: process.env["REDWINGLIFT_VERSION"] ?? "development",
    write: text => void process.stdout.write(text),
    writeError: text => void process.stderr.write(text),
    readFile: file => fs.readFileSync(file, "utf8"),
    createRandomBytes: count => randomBytes(count),
    runServe: async settings => (await import("./serve/runServe")).runServe(settings),
    runDev: async options => (await import("./dev/runDev")).runDev(options),
};

/** Reports an error that the command line hasn't handled; gives the exit code. */
function reportFault(error: unknown): number {
    context.writeError(`internal: ${error instanceof Error ? error.message : "unknown error"}\n`);
    return ExitCode.Internal;
}

void runCli(process.argv.slice(2), context)
    .catch(reportFault)
    .then(exitCode => {
        process.exitCode = exitCode;
        // A peer that keeps its end of a connection open must not keep a finished program alive.
        setTimeout(() => process.exit(exitCode), EXIT_GRACE_MS).unref();
    });
