import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { explainPlacement, filterPlaceable, PlacementBar } from "./filterPlaceable";

const REGIONS = { "east-1": "east", "east-2": "east", "west-1": "west" };
const RECORDS = ["east-1", "east-2", "west-1", "unknown-1", "constructor"].map(failureDomain => ({
    endpoint: { failureDomain },
}));
const NONE: ReadonlySet<string> = new Set();
const listDomains = (homeRegions: readonly string[] | undefined) =>
    filterPlaceable(RECORDS, { homeRegions, evacuated: NONE, regions: REGIONS }).map(
        ({ endpoint }) => endpoint.failureDomain,
    );

describe("the endpoints that a request with home regions may be sent to", () => {
    it("are all, in the same list, without home regions", () => {
        assert.equal(filterPlaceable(RECORDS, { homeRegions: undefined, evacuated: NONE, regions: REGIONS }), RECORDS);
    });

    // Guards against: a request leaves its home regions to an endpoint elsewhere or in a failure domain of no region.
    it("are those in a home region only", () => {
        assert.deepEqual(listDomains(["east"]), ["east-1", "east-2"]);
        assert.deepEqual(listDomains(["west", "east"]), ["east-1", "east-2", "west-1"]);
        assert.deepEqual(listDomains(["north"]), []);
        assert.deepEqual(listDomains([]), []);
    });

    // Guards against: a request with home regions goes to an evacuated domain there, or one without to any of them.
    it("are those outside evacuated failure domains", () => {
        const evacuated = new Set(["east-1"]);
        const list = (homeRegions: readonly string[] | undefined) =>
            filterPlaceable(RECORDS, { homeRegions, evacuated, regions: REGIONS }).map(
                ({ endpoint }) => endpoint.failureDomain,
            );
        assert.deepEqual(list(["east"]), ["east-2"]);
        assert.deepEqual(list(undefined), ["east-2", "west-1", "unknown-1", "constructor"]);
        const rules = { homeRegions: undefined, evacuated, regions: REGIONS };
        assert.equal(explainPlacement({ failureDomain: "east-1" }, rules), PlacementBar.Evacuated);
    });

    it("are left out with a reason", () => {
        const rules = { homeRegions: ["east"], evacuated: NONE, regions: REGIONS };
        assert.equal(explainPlacement({ failureDomain: "west-1" }, rules), PlacementBar.OutsideHomeRegions);
        assert.equal(explainPlacement({ failureDomain: "east-1" }, rules), undefined);
    });
});
