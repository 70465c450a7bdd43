import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { createLog } from "./createLog";
import { LogFormat, LogLevel } from "./log";

function collectLog(level: LogLevel, format: LogFormat) {
    const lines: string[] = [];
    return { lines, log: createLog({ level, format, write: line => lines.push(line) }) };
}

describe("createLog", () => {
    it("writes one JSON object per line with the fields of the log and of the call", () => {
        const { lines, log } = collectLog(LogLevel.Info, LogFormat.Json);
        log.withFields({ requestId: "r1" }).info("request finished", { durationMs: 8, isLate: false });
        assert.equal(lines.length, 1);
        const { time, ...rest } = JSON.parse(lines[0]!) as Record<string, unknown>;
        assert.match(String(time), /^\d{4}-\d\d-\d\dT.*Z$/);
        assert.deepEqual(rest, {
            requestId: "r1",
            durationMs: 8,
            isLate: false,
            level: "info",
            message: "request finished",
        });
    });

    it("writes human-readable text", () => {
        const { lines, log } = collectLog(LogLevel.Info, LogFormat.Text);
        log.warn('said "no"', { node: "node-1", reason: "too late", absent: undefined });
        assert.match(lines[0]!, /^\S+Z WARN {2}said "no" node=node-1 reason="too late"$/);
    });

    it("omits messages below its level", () => {
        const { lines, log } = collectLog(LogLevel.Warn, LogFormat.Json);
        log.debug("a");
        log.info("b");
        log.warn("c");
        log.error("d");
        assert.deepEqual(
            lines.map(line => (JSON.parse(line) as { message: string }).message),
            ["c", "d"],
        );
    });

    for (const name of ["apiKey", "authorization", "requestBody", "prompt", "messages", "secret"]) {
        it(`hides the text of the field ${name}`, () => {
            const { lines, log } = collectLog(LogLevel.Debug, LogFormat.Json);
            log.error("seen", { [name]: "pass-phrase", tokens: 3 });
            assert.doesNotMatch(lines[0]!, /pass-phrase/);
            assert.match(lines[0]!, /"tokens":3/);
        });
    }

    it("hides bearer keys inside any text", () => {
        const { lines, log } = collectLog(LogLevel.Debug, LogFormat.Text);
        log.info("got Bearer abcdefghij1 here", { url: "x?k=rwl_0123456789abcdef" });
        assert.doesNotMatch(lines[0]!, /abcdefghij1|0123456789abcdef/);
    });

    it("keeps every message on one line", () => {
        const { lines, log } = collectLog(LogLevel.Info, LogFormat.Text);
        fc.assert(
            fc.property(fc.string({ unit: "binary" }), fc.string({ unit: "binary" }), (message, value) => {
                lines.length = 0;
                log.info(message, { value });
                assert.equal(lines.length, 1);
                assert.doesNotMatch(lines[0]!, /[\n\r]/);
            }),
            { seed: 11, numRuns: 200 },
        );
    });
});
