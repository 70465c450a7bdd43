/**
 * @module Runs command lines against an operators' listener in this process.
 */
import assert from "node:assert/strict";
import fs from "node:fs";
import { mock } from "node:test";
import { createManualClock, type ManualClock } from "../../base/createManualClock";
import { createOperatorFakes, OPERATOR_KEY, type OperatorFakes } from "../../operator/_testing/createOperatorFakes";
import { createOperatorListener } from "../../operator/createOperatorListener";
import type { CliContext } from "../cliContext";
import { runCli } from "../runCli";

/** What a command line gave. */
export interface Outcome {
    readonly exitCode: number;
    readonly out: string;
    readonly error: string;
}

/** A listener and the command line in front of it. */
export interface CliHarness {
    readonly fakes: OperatorFakes;
    readonly clock: ManualClock;
    readonly url: string;
    /** Files that commands can read, by name. */
    readonly files: Record<string, string>;
    /** Runs one line, split at spaces. */
    runLine(line: string | readonly string[], change?: Partial<CliContext>): Promise<Outcome>;
    /** Runs lines that must succeed; gives the outcome of the last. */
    runLines(...lines: readonly string[]): Promise<Outcome>;
    dispose(): void;
}

/** A line that sets the class `digest`. */
export const SET_CLASS =
    "class set digest --latency-target 1200ms --token-gap-target 28 --deadline 2m --cost-ceiling 900 --idempotent yes";
/** A line that sets the service `assistant`. */
export const SET_SERVICE = "service set assistant --kind model --serving-version 1.10";

/**
 * Starts a listener with fakes behind it.
 *
 * @returns The harness; dispose it after use
 * @example
 * const harness = await createCliHarness();
 * await harness.runLine("status");
 */
export async function createCliHarness(): Promise<CliHarness> {
    const fakes = createOperatorFakes();
    const listener = await createOperatorListener(fakes.dependencies, fakes.options);
    const clock = createManualClock();
    const url = `http://127.0.0.1:${listener.port}`;
    const files: Record<string, string> = {};

    const runLine: CliHarness["runLine"] = async (line, change = {}) => {
        let out = "";
        let error = "";
        const context: CliContext = {
            environment: { REDWINGLIFT_OPERATOR_URL: url, REDWINGLIFT_OPERATOR_KEY: OPERATOR_KEY },
            clock,
            programVersion: "1.2.3",
            write: text => (out += text),
            writeError: text => (error += text),
            readFile: file => files[file] ?? fs.readFileSync(file, "utf8"),
            createRandomBytes: count => Buffer.alloc(count, 7),
            runServe: () => Promise.resolve(0),
            runDev: () => Promise.resolve(0),
            ...change,
        };
        const printed = mock.method(console, "info", (text: string) => (out += `${text}\n`));
        const exitCode = await runCli(typeof line === "string" ? line.split(" ") : line, context);
        printed.mock.restore();
        return { exitCode, out, error };
    };

    const runLines: CliHarness["runLines"] = async (...lines) => {
        let last: Outcome = { exitCode: 0, out: "", error: "" };
        for (const line of lines) {
            last = await runLine(line);
            assert.equal(last.exitCode, 0, `${line}: ${last.error}`);
        }
        return last;
    };
    return { fakes, clock, url, files, runLine, runLines, dispose: () => listener.dispose() };
}
