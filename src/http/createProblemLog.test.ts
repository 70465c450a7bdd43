import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createManualClock } from "../base/createManualClock";
import { createLog } from "../base/log/createLog";
import { LogFormat } from "../base/log/log";
import { createProblemLog } from "./createProblemLog";

describe("the log of problems", () => {
    it("writes one line in a while about the same error, and each other error at once", () => {
        const lines: string[] = [];
        const clock = createManualClock();
        const log = createLog({ format: LogFormat.Json, write: line => void lines.push(line) });
        const problems = createProblemLog(clock, log);
        const logError = (message: string) => problems.logProblem("listener error", new Error(message), {});
        ["first", "first", "second", "second"].forEach(logError);
        clock.advanceMs(10_000);
        logError("second");
        assert.deepEqual(
            lines.map(line => (JSON.parse(line) as { reason: string }).reason),
            ["first", "second", "second"],
        );
        assert.equal(problems.readLastError(), "second");
    });
});
