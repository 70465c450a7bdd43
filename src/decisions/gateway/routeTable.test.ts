import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { makeRoute } from "./_testing/makeRoute";
import { buildRouteTable, findRoute } from "./routeTable";

const table = buildRouteTable([
    makeRoute({ name: "short", pathPrefix: "/a/" }),
    makeRoute({ name: "long", pathPrefix: "/a/b/" }),
    makeRoute({ name: "other", host: "ledger.example", pathPrefix: "/" }),
]);

describe("the route table", () => {
    it("finds the route with the longest prefix of the path", () => {
        assert.equal(findRoute(table, "news.example", "/a/b/c")?.name, "long");
        assert.equal(findRoute(table, "news.example", "/a/bc")?.name, "short");
    });

    it("ignores the query, and the port and letter case of the host", () => {
        assert.equal(findRoute(table, "NEWS.example:8221", "/a/x?next=/a/b/")?.name, "short");
    });

    it("finds no route for an unknown host, an unknown path or a prefix without its trailing slash", () => {
        assert.equal(findRoute(table, "none.example", "/a/x"), undefined);
        assert.equal(findRoute(table, "news.example", "/b/"), undefined);
        assert.equal(findRoute(table, "news.example", "/a"), undefined);
    });

    it("matches only routes of the requested host", () => {
        assert.equal(findRoute(table, "ledger.example", "/a/b/c")?.name, "other");
    });
});
