import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { explainPlacement, filterPlaceable, PlacementBar } from "./filterPlaceable";

const REGIONS = { "east-1": "east", "east-2": "east", "west-1": "west" };
const RECORDS = ["east-1", "east-2", "west-1", "unknown-1", "constructor"].map(failureDomain => ({
    endpoint: { failureDomain },
}));
const listDomains = (homeRegions: readonly string[] | undefined) =>
    filterPlaceable(RECORDS, { homeRegions, regions: REGIONS }).map(({ endpoint }) => endpoint.failureDomain);

describe("the endpoints that a request with home regions may be sent to", () => {
    it("are all, in the same list, without home regions", () => {
        assert.equal(filterPlaceable(RECORDS, { homeRegions: undefined, regions: REGIONS }), RECORDS);
    });

    // Guards against: a request leaves its home regions to an endpoint elsewhere or in a failure domain of no region.
    it("are those in a home region only", () => {
        assert.deepEqual(listDomains(["east"]), ["east-1", "east-2"]);
        assert.deepEqual(listDomains(["west", "east"]), ["east-1", "east-2", "west-1"]);
        assert.deepEqual(listDomains(["north"]), []);
        assert.deepEqual(listDomains([]), []);
    });

    it("are left out with a reason", () => {
        const rules = { homeRegions: ["east"], regions: REGIONS };
        assert.equal(explainPlacement({ failureDomain: "west-1" }, rules), PlacementBar.OutsideHomeRegions);
        assert.equal(explainPlacement({ failureDomain: "east-1" }, rules), undefined);
    });
});
