import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { FailureKind } from "../base/failure";
import { readFleetPlan } from "./readFleetPlan";

describe("the plan of the fleet", () => {
    it("is not found on a node without a capacity file", async () => {
        const failure = (await readFleetPlan(undefined))._unsafeUnwrapErr();
        assert.equal(failure.kind, FailureKind.NotFound);
        assert.match(failure.message, /capacity file/);
    });
});
