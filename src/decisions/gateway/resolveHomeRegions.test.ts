import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { resolveHomeRegions } from "./resolveHomeRegions";

describe("the home regions of a request", () => {
    it("are all where neither the route nor the account names any", () => {
        assert.equal(resolveHomeRegions(undefined, undefined), undefined);
        assert.equal(resolveHomeRegions([], []), undefined);
    });

    it("are those of the one that names some", () => {
        assert.deepEqual(resolveHomeRegions(["east"], undefined), ["east"]);
        assert.deepEqual(resolveHomeRegions([], ["west"]), ["west"]);
    });

    // Guards against: an account's list widens that of the route, or lists without a common region allow all regions.
    it("are those in both lists, and none if no region is in both", () => {
        assert.deepEqual(resolveHomeRegions(["east", "west"], ["west", "north"]), ["west"]);
        assert.deepEqual(resolveHomeRegions(["east"], ["west"]), []);
    });
});
