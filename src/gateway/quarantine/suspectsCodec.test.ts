import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { makeReport } from "../../decisions/relays/_testing/makeReport";
import { CRASHES_PER_PART_MAX, SUSPECTS_MAX } from "../../decisions/relays/constants";
import { decodeNews, encodeNews, NewsKind } from "../news/newsCodec";
import { decodeSuspects, encodeSuspects } from "./suspectsCodec";

const SUSPECTS = {
    "part-1": { crashes: { "c-1": 120, "c-2": 7 }, clearances: 0, earlierClearances: 4 },
    "part-2": { crashes: { "c-1": 120 }, clearances: 90, earlierClearances: 0 },
};
const FROM = { address: "127.0.0.1", port: 7_600 };

/** Encodes a report, puts something else in the place of its evidence, and decodes it. */
function decodeReportWith(evidence: unknown) {
    const report = makeReport("a", { suspects: SUSPECTS });
    const text = encodeNews({ kind: NewsKind.Report, wantsViews: true, report }).toString();
    const changed = text.replace(JSON.stringify(encodeSuspects(SUSPECTS)), JSON.stringify(evidence));
    const message = decodeNews(Buffer.from(changed), FROM);
    return message?.kind === NewsKind.Report ? message.report : undefined;
}

describe("evidence in datagrams", () => {
    it("arrives as it was sent, with ages rounded down, and takes no bytes while there is none", () => {
        assert.deepEqual(decodeReportWith(encodeSuspects(SUSPECTS)), makeReport("a", { suspects: SUSPECTS }));
        const exact = { p: { crashes: { c: 7.9 }, clearances: 0, earlierClearances: 0 } };
        assert.deepEqual(decodeSuspects(encodeSuspects(exact))["p"]?.crashes, { c: 7 });
        const idle = encodeNews({ kind: NewsKind.Report, wantsViews: true, report: makeReport("a") }).toString();
        assert.ok(idle.endsWith('{"i-1":[1,100]}],[]]'), idle);
    });

    it("costs no more than itself if it is malformed or too long", () => {
        fc.assert(
            fc.property(fc.jsonValue(), value => {
                assert.ok(decodeReportWith(value) !== undefined);
                decodeReportWith([
                    [["c", 1], value],
                    [value, ["p", [0, 1], 0, 0]],
                ]);
            }),
            { seed: 5 },
        );
        const bad = [
            ["", [0], 0, 0],
            ["q", [9], 0, 0],
            ["r", [-1], 0, 0],
            ["s", [0], -1, 0],
            ["t".repeat(300), [0], 0, 0],
        ];
        const decoded = decodeReportWith([
            [
                ["c", 1],
                ["d", -5],
            ],
            [...bad, ["p", [0, 1], 0, 0]],
        ]);
        assert.deepEqual(decoded?.suspects, { p: { crashes: { c: 1 }, clearances: 0, earlierClearances: 0 } });
        const crashes = Array.from({ length: 900 }, (_unused, index) => [`c-${index}`, 1]);
        const parts = crashes.map(([name]) => [name, crashes.map((_crash, index) => index), 0, 0]);
        const bounded = Object.values(decodeSuspects([crashes, parts]));
        assert.equal(bounded.length, SUSPECTS_MAX);
        assert.ok(bounded.every(part => Object.keys(part.crashes).length === CRASHES_PER_PART_MAX));
    });
});
