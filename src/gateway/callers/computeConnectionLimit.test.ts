import assert from "node:assert/strict";
import fs from "node:fs";
import { describe, it } from "node:test";
import { computeConnectionLimit } from "./computeConnectionLimit";

const formatLimits = (soft: string) =>
    [
        "Limit                     Soft Limit           Hard Limit           Units     ",
        "Max processes             256                  256                  processes ",
        `Max open files            ${soft.padEnd(20)} 20000                files     `,
    ].join("\n");

describe("computeConnectionLimit", () => {
    // Guards against: the settings allow more descriptors than the kernel, which then closes connections without an answer.
    it("goes by the fewer descriptors of settings and kernel", () => {
        assert.equal(computeConnectionLimit(4_100, formatLimits("2000")), 1_300);
        assert.equal(computeConnectionLimit(2_000, formatLimits("4100")), 1_300);
        assert.equal(computeConnectionLimit(4_100, formatLimits("600")), 100);
    });

    it("goes by the settings if the kernel's limit isn't known or there is none", () => {
        assert.equal(computeConnectionLimit(4_100, ""), 3_400);
        assert.equal(computeConnectionLimit(4_100, formatLimits("unlimited")), 3_400);
    });

    it("reads the file of this kernel", { skip: !fs.existsSync("/proc/self/limits") }, () => {
        const text = fs.readFileSync("/proc/self/limits", "utf8");
        assert.ok(
            Number.isFinite(computeConnectionLimit(Number.POSITIVE_INFINITY, text)) || /files +unlimited/.test(text),
        );
    });
});
