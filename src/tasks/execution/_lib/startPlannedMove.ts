/**
 * @module Moving a stream away from an endpoint that is going to leave.
 */
import { err, ok, type Result } from "neverthrow";
import { createFailure } from "../../../base/createFailure";
import { type Failure, FailureKind } from "../../../base/failure";
import { ReclaimMove } from "../../../decisions/outcomes/reclaim/reclaimMove";
import type { AttemptId } from "../../../model/request";
import { MOVE_GRACE_MS, MOVE_RETRY_MS } from "../constants";
import { AttemptPurpose, type ChatRun, ControlKind, type LiveAttempt, type MovedCache } from "./chatRun";
import { dropRoute } from "./dropRoute";
import { failRun } from "./failRun";
import { requestRoute } from "./requestRoute";
import { buildChatQuery } from "./buildChatQuery";
import { createAttemptId } from "./createAttemptId";
import { sendControl } from "./sendControl";

/**
 * Begins the move that was planned for a stream. The stream goes on at the leaving endpoint until the other one is
 * ready.
 *
 * @param run - The request, with a planned move
 * @example
 * startPlannedMove(run);
 */
export function startPlannedMove(run: ChatRun): void {
    const planned = run.plannedMove;
    if (planned !== undefined && run.routing !== undefined) {
        run.plannedMove = { ...planned, startAtMs: planned.startAtMs + MOVE_RETRY_MS };
        return;
    }
    run.plannedMove = undefined;
    const leaving = [...run.live.values()].find(attempt => attempt.goneAtMs !== undefined);
    if (planned === undefined || leaving === undefined) {
        return;
    }
    STARTS[planned.move](run, leaving);
}

const STARTS: Readonly<Record<ReclaimMove, (run: ChatRun, leaving: LiveAttempt) => void>> = {
    [ReclaimMove.Finish]: () => undefined,
    [ReclaimMove.TransferCache]: startCacheMove,
    [ReclaimMove.Prefill]: run => requestRoute(run, AttemptPurpose.Move),
    [ReclaimMove.Shed]: run => {
        run.shared.counts.shed++;
        const message = "The endpoint is leaving and no other one can end the answer by its deadline.";
        failRun(run, createFailure(FailureKind.DeadlineExceeded, message));
    },
};

function startCacheMove(run: ChatRun, leaving: LiveAttempt): void {
    if (run.delivered.length === 0) {
        requestRoute(run, AttemptPurpose.Move);
        return;
    }
    const id = createAttemptId(run);
    run.cacheMove = { id, untilMs: (leaving.goneAtMs as number) + MOVE_GRACE_MS };
    void moveCache(run, id, leaving).then(moved => sendControl(run, { kind: ControlKind.CacheMoved, id, moved }));
}

async function moveCache(run: ChatRun, id: AttemptId, leaving: LiveAttempt): Promise<Result<MovedCache, Failure>> {
    const { models, routing } = run.shared.parts;
    const exported = await models.exportCache(leaving.endpoint, leaving.id);
    if (exported.isErr()) {
        return err(exported.error);
    }
    const route = await routing.chooseEndpoint(buildChatQuery(run, id));
    if (route.isErr()) {
        return err(route.error);
    }
    const { cacheId, tokens } = exported.value;
    const imported = await models.importCache(route.value.endpoint, leaving.endpoint, cacheId);
    if (imported.isErr()) {
        dropRoute(run, id, route.value);
        return err(imported.error);
    }
    if (run.cacheMove?.id !== id || run.end !== undefined) {
        dropRoute(run, id, route.value);
        return err(createFailure(FailureKind.Cancelled, "The move was given up."));
    }
    return ok({ route: route.value, cacheId, tokens });
}
