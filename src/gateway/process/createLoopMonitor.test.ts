import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { setTimeout as waitMs } from "node:timers/promises";
import { createLog } from "../../base/log/createLog";
import { createLoopMonitor } from "./createLoopMonitor";

const STANDSTILL_MS = 900;

/** Keeps the thread busy. */
function waitBusily(durationMs: number): void {
    const endsAtMs = performance.now() + durationMs;
    while (performance.now() < endsAtMs) {
        // Nothing but the time passes.
    }
}

describe("watching the event loop", () => {
    // Guards against a standstill of the process that looks like a slow link, since nothing names it.
    it("shows and logs a standstill, once", async () => {
        const lines: string[] = [];
        const monitor = createLoopMonitor(createLog({ write: line => void lines.push(line) }));
        await waitMs(300);
        waitBusily(STANDSTILL_MS);
        await waitMs(1_500);
        const { longestMs } = monitor.takeDelays();
        assert.ok(longestMs > STANDSTILL_MS / 2, `${longestMs} ms`);
        assert.equal(lines.filter(line => line.includes("event loop stood still")).length, 1);
        await waitMs(150);
        assert.ok(monitor.takeDelays().longestMs < longestMs);
        monitor.dispose();
    });
});
