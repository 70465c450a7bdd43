/**
 * @module Moves a stream away from a leaving endpoint.
 */
import { err, ok, type Result } from "neverthrow";
import { createFailure } from "../../../base/createFailure";
import { type Failure, FailureKind } from "../../../base/failure";
import { ReclaimMove } from "../../../decisions/outcomes/reclaim/reclaimMove";
import type { AttemptId } from "../../../model/request";
import { CACHE_MOVE_GRACE_MS, MOVE_RETRY_DELAY_MS } from "../constants";
import { AttemptPurpose, type ChatRun, ControlKind, type LiveAttempt, type ImportedCache } from "./chatRun";
import { cancelRoute } from "./cancelRoute";
import { failRun } from "./failRun";
import { requestRoute } from "./requestRoute";
import { buildChatRouteQuery } from "./buildChatRouteQuery";
import { createAttemptId } from "./createAttemptId";
import { sendControl } from "./sendControl";

/**
 * Starts the planned move of a stream. The stream continues at the leaving endpoint until the other one is ready. While a
 * route is being chosen for another attempt, the move is delayed.
 *
 * @param run - The request, with a planned move
 * @example
 * startPlannedMove(run);
 */
export function startPlannedMove(run: ChatRun): void {
    const planned = run.plannedMove;
    if (planned !== undefined && run.routing !== undefined) {
        run.plannedMove = { ...planned, startAtMs: planned.startAtMs + MOVE_RETRY_DELAY_MS };
        return;
    }
    run.plannedMove = undefined;
    const leaving = [...run.live.values()].find(attempt => attempt.goneAtMs !== undefined);
    if (planned === undefined || leaving === undefined) {
        return;
    }
    MOVE_STARTERS[planned.move](run, leaving);
}

const MOVE_STARTERS: Readonly<Record<ReclaimMove, (run: ChatRun, leaving: LiveAttempt) => void>> = {
    [ReclaimMove.Finish]: () => undefined,
    [ReclaimMove.TransferCache]: startCacheMove,
    [ReclaimMove.Prefill]: run => requestRoute(run, AttemptPurpose.Move),
    [ReclaimMove.Shed]: run => {
        run.shared.counts.shed++;
        const message = "The endpoint is leaving and no other endpoint can complete the answer by its deadline.";
        failRun(run, createFailure(FailureKind.DeadlineExceeded, message));
    },
};

function startCacheMove(run: ChatRun, leaving: LiveAttempt): void {
    if (run.deliveredTexts.length === 0) {
        requestRoute(run, AttemptPurpose.Move);
        return;
    }
    const id = createAttemptId(run);
    run.pendingCacheMove = { id, timeoutAtMs: (leaving.goneAtMs as number) + CACHE_MOVE_GRACE_MS };
    void moveCache(run, id, leaving).then(moved => sendControl(run, { kind: ControlKind.CacheMoved, id, moved }));
}

async function moveCache(run: ChatRun, id: AttemptId, leaving: LiveAttempt): Promise<Result<ImportedCache, Failure>> {
    const { models, routing } = run.shared.dependencies;
    const exported = await models.exportCache(leaving.endpoint, leaving.id);
    if (exported.isErr()) {
        return err(exported.error);
    }
    const route = await routing.chooseEndpoint(buildChatRouteQuery(run, id));
    if (route.isErr()) {
        return err(route.error);
    }
    const { cacheId, tokens } = exported.value;
    const imported = await models.importCache(route.value.endpoint, leaving.endpoint, cacheId);
    if (imported.isErr()) {
        cancelRoute(run, id, route.value);
        return err(imported.error);
    }
    if (run.pendingCacheMove?.id !== id || run.end !== undefined) {
        cancelRoute(run, id, route.value);
        return err(createFailure(FailureKind.Cancelled, "The cache move was abandoned."));
    }
    return ok({ route: route.value, cacheId, tokens });
}
