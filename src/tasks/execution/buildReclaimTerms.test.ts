import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { buildReclaimTerms } from "./buildReclaimTerms";
import { DEFAULT_RECLAIM_TERMS } from "./constants";

describe("buildReclaimTerms", () => {
    it("takes survivors, prefill speed and sharing nodes from the known capacity", () => {
        const terms = buildReclaimTerms({ liveEndpoints: 9, prefillTokensPerSecond: 6_000 }, 3);
        assert.equal(terms.survivors, 9);
        assert.equal(terms.prefillTokensPerMs, 6);
        assert.equal(terms.sharingNodes, 3);
    });

    it("keeps the defaults for unknown values", () => {
        const terms = buildReclaimTerms({ liveEndpoints: 0, prefillTokensPerSecond: 0 }, 400);
        assert.equal(terms.survivors, 1);
        assert.equal(terms.prefillTokensPerMs, DEFAULT_RECLAIM_TERMS.prefillTokensPerMs);
        assert.equal(terms.sharingNodes, DEFAULT_RECLAIM_TERMS.sharingNodes);
    });
});
