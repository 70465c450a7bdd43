import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { err, ok } from "neverthrow";
import { createFailure } from "../../base/createFailure";
import { FailureKind } from "../../base/failure";
import { createLog } from "../../base/log/createLog";
import { LogFormat } from "../../base/log/log";
import { ExitCode } from "../../cli/exitCode";
import { waitForEnd } from "./waitForEnd";

/** Waits for the end; gives it with the messages that were logged. */
async function readEnd(whenStarted: Parameters<typeof waitForEnd>[0]["whenStarted"], whenSignalled: Promise<string>) {
    const messages: string[] = [];
    const write = (line: string) => void messages.push((JSON.parse(line) as { message: string }).message);
    const end = await waitForEnd({ whenStarted }, whenSignalled, createLog({ format: LogFormat.Json, write }));
    return { end, messages };
}

const failure = createFailure(FailureKind.AddressUnavailable, "The address is taken.");
const never = new Promise<never>(() => undefined);

describe("the end of a gateway", () => {
    it("comes with a signal after the start", async () => {
        assert.deepEqual(await readEnd(Promise.resolve(ok(undefined)), Promise.resolve("SIGTERM")), {
            end: { reason: "SIGTERM" },
            messages: ["gateway listens"],
        });
    });

    // Guards against: a signal waits for listeners that can't listen (LOST).
    it("comes with a signal while the listeners start", async () => {
        assert.deepEqual(await readEnd(never, Promise.resolve("SIGINT")), { end: { reason: "SIGINT" }, messages: [] });
    });

    it("comes with the failure of the start, and its exit code", async () => {
        assert.deepEqual(await readEnd(Promise.resolve(err(failure)), never), {
            end: { reason: FailureKind.AddressUnavailable, failedExitCode: ExitCode.AddressUnavailable },
            messages: ["gateway failed"],
        });
    });
});
