import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { buildFollowedRequest } from "./buildFollowedRequest";

const BODY = Buffer.alloc(100_000, "a");
const readIdentity = (changes: { readonly path?: string; readonly body?: Buffer }) =>
    buildFollowedRequest([], { service: "chat", method: "POST", path: "/a", body: BODY, ...changes }).readIdentity();

describe("the identity of a request", () => {
    // Guards against sound requests that are held as repeats of a deadly one.
    it("differs by the last part of the prompt, and by path and body without any", () => {
        const ofParts = (...ids: readonly string[]) =>
            buildFollowedRequest(
                ids.map(id => ({ id, tokens: 9 })),
                undefined,
            );
        assert.equal(ofParts("base", "own-1").readIdentity(), ofParts("base", "own-1").readIdentity());
        assert.notEqual(ofParts("base", "own-1").readIdentity(), ofParts("base", "own-2").readIdentity());
        assert.deepEqual(ofParts("base", "own-1").parts, ["base"]);
        const changed = Buffer.from(BODY);
        changed[99_000] = 0;
        const all = [{}, { path: "/b" }, { body: changed }, { body: BODY.subarray(1) }].map(readIdentity);
        assert.equal(new Set(all).size, 4);
        assert.equal(readIdentity({}), readIdentity({ body: Buffer.from(BODY) }));
    });

    it("is unknown without parts and content", () => {
        assert.equal(buildFollowedRequest([], undefined).readIdentity(), undefined);
    });
});
