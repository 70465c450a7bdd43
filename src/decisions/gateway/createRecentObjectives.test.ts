import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createRecentObjectives, OBJECTIVE_RETENTION_MS } from "./createRecentObjectives";

describe("the strictest objective of recent requests", () => {
    it("is infinite without requests", () => {
        assert.equal(createRecentObjectives().readStrictest(0), Number.POSITIVE_INFINITY);
    });

    // Guards against: one request with a strict objective decides on all later ones.
    it("relaxes once no request has it any more", () => {
        const objectives = createRecentObjectives();
        objectives.recordRequest(100, 0);
        objectives.recordRequest(500, OBJECTIVE_RETENTION_MS);
        assert.equal(objectives.readStrictest(OBJECTIVE_RETENTION_MS), 100);
        assert.equal(objectives.readStrictest(OBJECTIVE_RETENTION_MS + 1), 500);
    });
});
