import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { err, ok, type Result } from "neverthrow";
import { createManualClock } from "../../base/createManualClock";
import { runClock } from "../../nodes/_testing/runClock";
import { waitForSettings } from "./waitForSettings";

describe("the settings of a process that starts", () => {
    const run = async (readableFromMs: number) => {
        const clock = createManualClock();
        const startedAtMs = clock.readMonotonicMs();
        const read = (): Result<string, string> =>
            clock.readMonotonicMs() - startedAtMs >= readableFromMs ? ok("settings") : err("half a file");
        const whenRead = waitForSettings(read, clock, clock.waitMs);
        await runClock(clock, 10_000);
        return whenRead;
    };

    // Guards against: a process that starts while its settings are being written ends by itself (FAULT).
    it("are read again while their file is being written", async () => {
        assert.deepEqual(await run(1_500), ok("settings"));
    });

    it("are given up when they stay unreadable", async () => {
        assert.deepEqual(await run(5_000), err("half a file"));
    });
});
