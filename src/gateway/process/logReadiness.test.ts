import assert from "node:assert/strict";
import { it } from "node:test";
import { createManualClock } from "../../base/createManualClock";
import { createLog } from "../../base/log/createLog";
import { LogFormat } from "../../base/log/log";
import { runClock } from "../../nodes/_testing/runClock";
import { logReadiness } from "./logReadiness";

/** Runs a start whose conditions hold after these times; gives the log line. */
async function readLine(
    heldAfterMs: Readonly<Record<string, number>>,
    runMs: number,
): Promise<Record<string, unknown>> {
    const clock = createManualClock();
    const beganAtMs = clock.readMonotonicMs();
    const lines: string[] = [];
    const conditions = Object.entries(heldAfterMs).map(
        ([name, afterMs]) => [name, () => clock.readMonotonicMs() - beganAtMs >= afterMs] as const,
    );
    void logReadiness(
        Object.fromEntries(conditions),
        clock,
        createLog({ format: LogFormat.Json, write: line => void lines.push(line) }),
    );
    await runClock(clock, runMs);
    assert.equal(lines.length, 1);
    return JSON.parse(lines[0] ?? "{}") as Record<string, unknown>;
}

// Guards against a slow start of which nothing tells what it has waited for.
it("a start says how long it has waited for each condition, and what is missing", async () => {
    const whole = await readLine({ configurationMs: 100, newsMs: 700 }, 2_000);
    assert.equal(Number(whole["newsMs"]) - Number(whole["configurationMs"]), 600);
    assert.equal(whole["missing"], undefined);
    const half = await readLine({ configurationMs: 100, newsMs: 100_000 }, 40_000);
    assert.equal(half["missing"], "newsMs");
});
