import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { createManualClock } from "../base/createManualClock";
import { collectDump, type Dump } from "./collectDump";

function dumpOf(state: unknown): unknown {
    const dump = collectDump({
        clock: createManualClock(),
        node: { nodeId: "node-1", vmId: "vm-1", region: "r", failureDomain: "f", programVersion: "1" },
        listDumpSources: () => [{ name: "task", dumpState: () => state }],
    });
    return (JSON.parse(JSON.stringify(dump)) as Dump).tasks["task"];
}

describe("a dump", () => {
    const cases: readonly (readonly [string, unknown, unknown])[] = [
        [
            "keys",
            { apiKey: "a", keyHashes: ["b"], clientSecret: { c: 1 } },
            { apiKey: "[hidden]", keyHashes: "[hidden]", clientSecret: "[hidden]" },
        ],
        [
            "texts of callers",
            { messages: [{ role: "user" }], body: "x", prompt: "y" },
            { messages: "[hidden]", body: "[hidden]", prompt: "[hidden]" },
        ],
        ["numbers under such names", { keys: 3, body: 12 }, { keys: 3, body: 12 }],
        ["maps", new Map([["a", new Set([1, 2])]]), { a: [1, 2] }],
        ["bytes", { payload: Buffer.from("secret") }, { payload: "[6 bytes]" }],
        ["large whole numbers", { at: 12n }, { at: "12" }],
        ["functions", { run: () => 1, open: 2 }, { open: 2 }],
    ];
    for (const [what, state, expected] of cases) {
        it(`shows ${what} as it should`, () => assert.deepEqual(dumpOf(state), expected));
    }

    it("cuts long lists, maps and texts and says so", () => {
        assert.deepEqual((dumpOf(Array.from({ length: 5_002 }, () => 0)) as unknown[]).at(-1), "[2 more]");
        const map = new Map(Array.from({ length: 5_003 }, (_entry, index) => [`e${index}`, index]));
        assert.equal((dumpOf(map) as Record<string, unknown>)["[more]"], 3);
        assert.match(String(dumpOf("x".repeat(3_000))), /^x{2000}…$/);
    });

    it("ends with values that contain themselves", () => {
        const state: Record<string, unknown> = { open: 1 };
        state["self"] = state;
        assert.match(JSON.stringify(dumpOf(state)), /\[deeper\]/);
    });

    it("of any state is JSON and holds no text of a secret field", () => {
        const secret = "do-not-show-me";
        fc.assert(
            fc.property(fc.object({ withMap: true, withSet: true, withBigInt: true, withDate: true }), state => {
                const text = JSON.stringify(
                    dumpOf({ state, nested: [{ accessKey: secret, ...state, password: secret }] }),
                );
                assert.doesNotMatch(text, new RegExp(secret));
            }),
            { seed: 17, numRuns: 200 },
        );
    });
});
