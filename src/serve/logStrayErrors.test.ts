import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { createManualClock } from "../base/createManualClock";
import { formatError } from "../base/formatError";
import { createLog } from "../base/log/createLog";
import { LogFormat } from "../base/log/log";
import { createGatewayMetrics } from "../gateway/process/createGatewayMetrics";
import { createRateLimitedLog } from "../gateway/process/createRateLimitedLog";
import { logStrayErrors } from "./logStrayErrors";

const EVENTS = ["unhandledRejection", "uncaughtException"] as const;
const LINES_MAX = 60;

describe("errors that nothing handles", () => {
    const former = EVENTS.map(event => process.listeners(event as "uncaughtException"));

    function startLogging() {
        EVENTS.forEach(event => process.removeAllListeners(event));
        const lines: string[] = [];
        const log = createLog({ format: LogFormat.Json, write: line => void lines.push(line) });
        const metrics = createGatewayMetrics();
        logStrayErrors(createRateLimitedLog(log, createManualClock()), metrics.countUnhandledError);
        return { lines, metrics };
    }

    afterEach(() =>
        EVENTS.forEach((event, index) => {
            process.removeAllListeners(event);
            former[index]?.forEach(listener => process.on(event as "uncaughtException", listener));
        }),
    );

    // Guards against: an error that nobody handles leaves no trace but a log line, which a limit may drop.
    it("are counted by origin, also those whose log line is dropped", async () => {
        const { lines, metrics } = startLogging();
        for (let errors = 0; errors < LINES_MAX + 40; errors++) {
            process.emit("unhandledRejection", new Error("planted"), Promise.resolve());
        }
        process.emit("uncaughtException", new Error("planted"));
        assert.equal(lines.length, LINES_MAX);
        const text = await metrics.formatMetrics();
        assert.match(text, /redwinglift_unhandled_errors_total\{origin="rejection"\} 100\b/);
        assert.match(text, /redwinglift_unhandled_errors_total\{origin="exception"\} 1\b/);
    });

    it("are logged with their stack", () => {
        const { lines } = startLogging();
        process.emit("uncaughtException", new Error("planted"));
        const line = JSON.parse(lines[0] ?? "{}") as { readonly message: string; readonly reason: string };
        assert.equal(line.message, "uncaught exception");
        assert.match(line.reason, /^Error: planted\n +at .*logStrayErrors\.test/);
    });

    it("are formatted even if they have no text", () => {
        const odd: unknown = Object.create(JSON.parse("null") as object);
        assert.equal(formatError(odd), "a value that has no text");
        assert.equal(formatError(undefined), "undefined");
    });
});
