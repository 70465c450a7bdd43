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
const nonIdempotent = makeRoute({ kind: RouteKind.NonIdempotent, attemptsMax: 1 });
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
        [
            "a successful response is relayed",
            idempotent,
            { end: AttemptOutcome.Answered, status: 200 },
            NextAction.Relay,
        ],
        [
            "a request with a server error is sent again",
            idempotent,
            { end: AttemptOutcome.Answered, status: 500 },
            NextAction.SendAgain,
        ],
        [
            "the server error of the last allowed execution is relayed",
            idempotent,
            { end: AttemptOutcome.Answered, status: 500, executions: 2 },
            NextAction.Relay,
        ],
        ["a client error is relayed", idempotent, { end: AttemptOutcome.Answered, status: 404 }, NextAction.Relay],
        [
            "the server error of a non-idempotent request is relayed",
            nonIdempotent,
            { end: AttemptOutcome.Answered, status: 500 },
            NextAction.Relay,
        ],
        [
            "a lost non-idempotent request is never sent again",
            nonIdempotent,
            { end: AttemptOutcome.Lost },
            NextAction.Fail,
        ],
        [
            "a lost stream that can't be resumed is never sent again",
            stream,
            { end: AttemptOutcome.Lost },
            NextAction.Fail,
        ],
        [
            "a broken stream that can't be resumed is closed",
            stream,
            { end: AttemptOutcome.Broken },
            NextAction.BreakOff,
        ],
        ["a broken resumable stream is sent again", resumable, { end: AttemptOutcome.Broken }, NextAction.SendAgain],
        [
            "a non-idempotent request that was not executed is sent again",
            nonIdempotent,
            { end: AttemptOutcome.NotExecuted, executions: 0 },
            NextAction.SendAgain,
        ],
        [
            "a non-idempotent request that was not sent is sent again",
            nonIdempotent,
            { end: AttemptOutcome.NotSent, executions: 0 },
            NextAction.SendAgain,
        ],
        ["a request past its deadline fails", idempotent, { end: AttemptOutcome.TimedOut }, NextAction.Fail],
        [
            "nothing is done after the caller has disconnected",
            idempotent,
            { end: AttemptOutcome.CallerGone },
            NextAction.Finish,
        ],
        [
            "without retry budget, a request that was not executed is refused",
            idempotent,
            { end: AttemptOutcome.NotExecuted, executions: 0, chargeRetry: () => false },
            NextAction.Refuse,
        ],
        [
            "a request fails instead of being refused if an earlier attempt may have been executed",
            idempotent,
            { end: AttemptOutcome.NotExecuted, executions: 1, chargeRetry: () => false },
            NextAction.Fail,
        ],
    ] as const;
    for (const [name, route, changes, expected] of cases) {
        it(name, () => assert.equal(decideNextAction(route, makeState(changes)), expected));
    }

    it("never exceeds the executions that the route allows, nor refuses a request that may have been executed", () => {
        const anyRoute = fc.constantFrom(idempotent, nonIdempotent, stream, resumable);
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
                    const action = decideNextAction(
                        route,
                        makeState({ end, status: 500, executions, sends, hasTime, chargeRetry: () => hasBudget }),
                    );
                    const wasNotExecuted = end === AttemptOutcome.NotSent || end === AttemptOutcome.NotExecuted;
                    if (action === NextAction.SendAgain) {
                        assert.ok(hasTime && sends < MAX_SENDS);
                        assert.ok(wasNotExecuted || (isRepeatable(route) && executions < route.attemptsMax));
                    }
                    if (action === NextAction.Refuse) {
                        assert.equal(executions, 0);
                        assert.ok(wasNotExecuted);
                    }
                },
            ),
            { seed: 7 },
        );
    });
});
