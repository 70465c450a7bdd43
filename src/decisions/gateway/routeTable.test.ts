import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { makeRoute } from "./_testing/makeRoute";
import { buildRouteTable, findRoute } from "./routeTable";

const table = buildRouteTable([
    makeRoute({ name: "short", pathPrefix: "/a/" }),
    makeRoute({ name: "long", pathPrefix: "/a/b/" }),
    makeRoute({ name: "other", host: "ledger.example", pathPrefix: "/" }),
]);

describe("the table of routes", () => {
    it("finds the longest prefix that begins the path", () => {
        assert.equal(findRoute(table, "news.example", "/a/b/c")?.name, "long");
        assert.equal(findRoute(table, "news.example", "/a/bc")?.name, "short");
    });

    it("leaves out the query, the port and the case of the host", () => {
        assert.equal(findRoute(table, "NEWS.example:8221", "/a/x?next=/a/b/")?.name, "short");
    });

    it("finds nothing for another host, another path or a prefix without its last slash", () => {
        assert.equal(findRoute(table, "none.example", "/a/x"), undefined);
        assert.equal(findRoute(table, "news.example", "/b/"), undefined);
        assert.equal(findRoute(table, "news.example", "/a"), undefined);
    });

    it("keeps hosts apart", () => {
        assert.equal(findRoute(table, "ledger.example", "/a/b/c")?.name, "other");
    });
});
