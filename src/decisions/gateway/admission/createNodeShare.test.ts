import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createNodeShare } from "./createNodeShare";

// Guards against: shares that add up to more than 1, and seats that move to and fro between nodes with each report.
describe("the share of a node", () => {
    it("is by the number of nodes without state reports", () => {
        assert.equal(createNodeShare().observeDemand({ own: 9, fleet: undefined, nodes: 5 }, 0), 0.2);
    });
    it("follows the demand, and adds up to 1 over all nodes", () => {
        const demands = [60, 20, 20];
        const shares = demands.map(own => createNodeShare().observeDemand({ own, fleet: 100, nodes: 3 }, 0));
        assert.ok(Math.abs(shares.reduce((sum, share) => sum + share, 0) - 1) < 1e-9);
        assert.ok((shares[0] ?? 0) > 1.5 * (shares[1] ?? 0));
    });
    it("changes within seconds and not at once", () => {
        const share = createNodeShare();
        const before = share.observeDemand({ own: 10, fleet: 100, nodes: 10 }, 0);
        assert.ok(share.observeDemand({ own: 100, fleet: 100, nodes: 10 }, 50) < before * 1.5);
        assert.ok(share.observeDemand({ own: 100, fleet: 100, nodes: 10 }, 8_000) > 0.5);
    });
    it("goes back to equal shares when the state reports end", () => {
        const share = createNodeShare();
        share.observeDemand({ own: 90, fleet: 100, nodes: 4 }, 0);
        assert.equal(share.observeDemand({ own: 90, fleet: undefined, nodes: 4 }, 100), 0.25);
    });
});
