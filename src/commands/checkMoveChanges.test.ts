import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { FailureKind } from "../base/failure";
import { createEmptyConfiguration } from "../decisions/configuration/createEmptyConfiguration";
import { ItemKind, MoveState, ServiceKind, type VersionMove } from "../model/configuration";
import { checkMoveChanges } from "./checkMoveChanges";

const NOW_MS = 1_700_000_000_000;

const MOVE: VersionMove = {
    name: "move-1",
    serviceName: "assistant",
    fromVersion: "v1",
    toVersion: "v2",
    doneByWallMs: NOW_MS + 60_000,
    state: MoveState.Moving,
    share: 0,
    reason: "",
};
const RUNNING: VersionMove = { ...MOVE, share: 0.25, startedWallMs: NOW_MS - 1 };
const TAKEN_BACK: VersionMove = { ...RUNNING, state: MoveState.TakenBack, share: 0 };

function check(before: VersionMove | undefined, value: VersionMove | undefined, basedOnRevision = 7) {
    const versionMoves: Readonly<Record<string, VersionMove>> = before === undefined ? {} : { "move-1": before };
    const current = {
        ...createEmptyConfiguration(),
        revision: 7,
        services: { assistant: { name: "assistant", kind: ServiceKind.Model, version: "v1" } },
        versionMoves,
    };
    const change = { basedOnRevision, items: [{ kind: ItemKind.VersionMove as const, name: "move-1", value }] };
    return checkMoveChanges(current, change, NOW_MS);
}

describe("operators' changes of version moves", () => {
    const accepted: readonly (readonly [string, VersionMove | undefined, VersionMove | undefined])[] = [
        ["starting a move", undefined, MOVE],
        ["taking a move back", RUNNING, TAKEN_BACK],
        ["removing a move that was taken back", TAKEN_BACK, undefined],
        ["removing a move that is done", { ...RUNNING, state: MoveState.Done }, undefined],
    ];
    for (const [what, before, after] of accepted) {
        it(`allow ${what}`, () => assert.ok(check(before, after).isOk()));
    }

    const refused: readonly (readonly [string, VersionMove | undefined, VersionMove | undefined, RegExp])[] = [
        ["starting with a share", undefined, { ...MOVE, share: 0.5 }, /must start as moving, with share 0/],
        ["starting as done", undefined, { ...MOVE, state: MoveState.Done }, /must start as moving/],
        ["starting late", undefined, { ...MOVE, doneByWallMs: NOW_MS }, /must be done by a time to come/],
        ["starting from a version that does not serve", undefined, { ...MOVE, fromVersion: "v0" }, /from version v1/],
        ["declaring a move done", RUNNING, { ...RUNNING, state: MoveState.Done, share: 1 }, /only be taken back/],
        ["raising the share", RUNNING, { ...RUNNING, share: 1 }, /only be taken back/],
        ["taking back with a share left", RUNNING, { ...TAKEN_BACK, share: 0.1 }, /only be taken back/],
        ["moving the time", RUNNING, { ...RUNNING, doneByWallMs: NOW_MS + 1 }, /only be taken back/],
        ["taking another move's place", RUNNING, { ...TAKEN_BACK, toVersion: "v3" }, /only be taken back/],
        ["starting a move again", TAKEN_BACK, MOVE, /has ended as taken_back/],
        ["removing a move in progress", RUNNING, undefined, /is in progress/],
    ];
    for (const [what, before, after, expected] of refused) {
        it(`refuse ${what}`, () => {
            const failure = check(before, after)._unsafeUnwrapErr();
            assert.equal(failure.kind, FailureKind.InvalidConfiguration);
            assert.match(String(failure.details?.["problems"]), expected);
        });
    }

    it("conflict when they are not based on what is in force here", () => {
        const failure = check(RUNNING, TAKEN_BACK, 8)._unsafeUnwrapErr();
        assert.equal(failure.kind, FailureKind.RevisionConflict);
        assert.equal(failure.details?.["revision"], 7);
        assert.match(JSON.stringify(failure.details), /"share":0.25/);
    });
});
