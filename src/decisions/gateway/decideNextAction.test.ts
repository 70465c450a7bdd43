import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { RouteKind } from "../../model/gateway";
import { makeRoute } from "./_testing/makeRoute";
import {
    AttemptOutcome,
    type AttemptState,
    NextAction,
    decideNextAction,
    isRepeatable,
    MAX_SENDS,
} from "./decideNextAction";

const idempotent = makeRoute();
const posting = makeRoute({ kind: RouteKind.NonIdempotent, attemptsMax: 1 });
const stream = makeRoute({ kind: RouteKind.Streaming, attemptsMax: 1 });
const resumable = makeRoute({ kind: RouteKind.Streaming, isResumable: true });

function makeState(changes: Partial<AttemptState>): AttemptState {
    return {
        end: AttemptOutcome.Lost,
        status: undefined,
        executions: 1,
        sends: 1,
        hasTime: true,
        chargeRetry: () => true,
        ...changes,
    };
}

describe("after an attempt", () => {
    const cases = [
        ["a success is relayed", idempotent, { end: AttemptOutcome.Answered, status: 200 }, NextAction.Relay],
        [
            "a failure is tried elsewhere",
            idempotent,
            { end: AttemptOutcome.Answered, status: 500 },
            NextAction.SendAgain,
        ],
        [
            "the last failure is relayed",
            idempotent,
            { end: AttemptOutcome.Answered, status: 500, executions: 2 },
            NextAction.Relay,
        ],
        ["a client error is relayed", idempotent, { end: AttemptOutcome.Answered, status: 404 }, NextAction.Relay],
        ["a posting's failure is relayed", posting, { end: AttemptOutcome.Answered, status: 500 }, NextAction.Relay],
        ["a lost posting is never sent again", posting, { end: AttemptOutcome.Lost }, NextAction.Fail],
        ["a lost stream is never sent again", stream, { end: AttemptOutcome.Lost }, NextAction.Fail],
        ["a broken stream is closed", stream, { end: AttemptOutcome.Broken }, NextAction.BreakOff],
        ["a broken stream is resumed", resumable, { end: AttemptOutcome.Broken }, NextAction.SendAgain],
        [
            "a posting not executed goes elsewhere",
            posting,
            { end: AttemptOutcome.NotExecuted, executions: 0 },
            NextAction.SendAgain,
        ],
        [
            "a posting not sent goes elsewhere",
            posting,
            { end: AttemptOutcome.NotSent, executions: 0 },
            NextAction.SendAgain,
        ],
        ["a request out of time is failed", idempotent, { end: AttemptOutcome.TimedOut }, NextAction.Fail],
        ["a caller that left is let go", idempotent, { end: AttemptOutcome.CallerGone }, NextAction.Finish],
        [
            "without a budget the caller is told that nothing ran",
            idempotent,
            { end: AttemptOutcome.NotExecuted, executions: 0, chargeSend: () => false },
            NextAction.Refuse,
        ],
        [
            "nothing is refused as not run if an earlier attempt may have run",
            idempotent,
            { end: AttemptOutcome.NotExecuted, executions: 1, chargeSend: () => false },
            NextAction.Fail,
        ],
    ] as const;
    for (const [name, route, changes, expected] of cases) {
        it(name, () => assert.equal(decideNextAction(route, makeState(changes)), expected));
    }

    it("never executes more often than the route allows, nor refuses what may have run", () => {
        const anyRoute = fc.constantFrom(idempotent, posting, stream, resumable);
        const anyEnd = fc.constantFrom(...Object.values(AttemptOutcome));
        fc.assert(
            fc.property(
                anyRoute,
                anyEnd,
                fc.nat(3),
                fc.nat(5),
                fc.boolean(),
                fc.boolean(),
                (route, end, executions, sends, hasTime, hasBudget) => {
                    const step = decideNextAction(
                        route,
                        makeState({ end, status: 500, executions, sends, hasTime, chargeRetry: () => hasBudget }),
                    );
                    const mayExecute = end === AttemptOutcome.NotSent || end === AttemptOutcome.NotExecuted;
                    if (step === NextAction.SendAgain) {
                        assert.ok(hasTime && sends < MAX_SENDS);
                        assert.ok(mayExecute || (isRepeatable(route) && executions < route.attemptsMax));
                    }
                    if (step === NextAction.Refuse) {
                        assert.equal(executions, 0);
                        assert.ok(mayExecute);
                    }
                },
            ),
            { seed: 7 },
        );
    });
});
