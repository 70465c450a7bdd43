/**
 * @module What operators may do to version moves.
 */
import { err, ok, type Result } from "neverthrow";
import { createFailure } from "../base/createFailure";
import { type Failure, FailureKind } from "../base/failure";
import { findItem } from "../decisions/configuration/applyChange";
import {
    type Configuration,
    type ConfigurationChange,
    ItemKind,
    MoveState,
    type VersionMove,
} from "../model/configuration";

/**
 * Checks the version moves of an operator's change against what is in force. Operators may start a move, take a move
 * in progress back and remove a move that has ended; the rest belongs to the holder of the move.
 *
 * @param current - The configuration in force on this node
 * @param change - The change, checked item by item
 * @param nowWallMs - Epoch milliseconds now
 * @returns The change; `RevisionConflict` if it has moves and is not based on the revision in force here;
 * `InvalidConfiguration` with every problem
 * @example
 * checkMoveChanges(configuration.readCurrent(), change, clock.readWallMs());
 */
export function checkMoveChanges(
    current: Configuration,
    change: ConfigurationChange,
    nowWallMs: number,
): Result<ConfigurationChange, Failure> {
    const moves = change.items.flatMap(item => (item.kind === ItemKind.VersionMove ? [item] : []));
    if (moves.length === 0) {
        return ok(change);
    }
    if (current.revision !== change.basedOnRevision) {
        return err(createConflict(current, change));
    }
    const problems = moves.flatMap(({ name, value }) => {
        const before = Object.hasOwn(current.versionMoves, name) ? current.versionMoves[name] : undefined;
        return checkMove(current, before, value, nowWallMs).map(problem => `versionMoves.${name}: ${problem}`);
    });
    return problems.length === 0
        ? ok(change)
        : err(
              createFailure(FailureKind.InvalidConfiguration, "The version move can't be changed so.", {
                  details: { problems },
              }),
          );
}

function checkMove(
    current: Configuration,
    before: VersionMove | undefined,
    after: VersionMove | undefined,
    nowWallMs: number,
): readonly string[] {
    if (after === undefined) {
        return before?.state === MoveState.Moving ? ["is in progress; take it back before removing it"] : [];
    }
    return before === undefined ? checkStart(current, after, nowWallMs) : checkTakeBack(before, after);
}

function checkStart(current: Configuration, move: VersionMove, nowWallMs: number): readonly string[] {
    const service = Object.hasOwn(current.services, move.serviceName) ? current.services[move.serviceName] : undefined;
    const isFresh = move.state === MoveState.Moving && move.share === 0 && move.startedWallMs === undefined;
    return [
        ...(isFresh ? [] : ["must start as moving, with share 0"]),
        ...(move.doneByWallMs > nowWallMs ? [] : ["must be done by a time to come"]),
        ...(service === undefined || service.version === move.fromVersion
            ? []
            : [`must start from version ${service.version}, which serves now`]),
    ];
}

function checkTakeBack(before: VersionMove, after: VersionMove): readonly string[] {
    if (before.state !== MoveState.Moving) {
        return [`has ended as ${before.state}`];
    }
    const isSame =
        before.serviceName === after.serviceName &&
        before.fromVersion === after.fromVersion &&
        before.toVersion === after.toVersion &&
        before.doneByWallMs === after.doneByWallMs;
    return isSame && after.state === MoveState.TakenBack && after.share === 0
        ? []
        : ["is in progress and can only be taken back, with share 0"];
}

function createConflict(current: Configuration, change: ConfigurationChange): Failure {
    const items = change.items.map(item => ({ ...item, value: findItem(current, item) }));
    const message = `The change was based on revision ${change.basedOnRevision}; this node has ${current.revision}.`;
    return createFailure(FailureKind.RevisionConflict, message, { details: { revision: current.revision, items } });
}
