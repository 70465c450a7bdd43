import assert from "node:assert/strict";
import { describe, it } from "node:test";
import fc from "fast-check";
import { RouteKind } from "../../model/gateway";
import { makeRoute } from "./_testing/makeRoute";
import {
    AttemptEnd,
    type AttemptState,
    AttemptStep,
    decideAttemptStep,
    isRepeatable,
    SENDS_MAX,
} from "./decideAttemptStep";

const idempotent = makeRoute();
const posting = makeRoute({ kind: RouteKind.NonIdempotent, attemptsMax: 1 });
const stream = makeRoute({ kind: RouteKind.Streaming, attemptsMax: 1 });
const resumable = makeRoute({ kind: RouteKind.Streaming, isResumable: true });

function makeState(changes: Partial<AttemptState>): AttemptState {
    return {
        end: AttemptEnd.Lost,
        status: undefined,
        executions: 1,
        sends: 1,
        hasTime: true,
        chargeSend: () => true,
        ...changes,
    };
}

describe("after an attempt", () => {
    const cases = [
        ["a success is relayed", idempotent, { end: AttemptEnd.Answered, status: 200 }, AttemptStep.Relay],
        ["a failure is tried elsewhere", idempotent, { end: AttemptEnd.Answered, status: 500 }, AttemptStep.SendAgain],
        [
            "the last failure is relayed",
            idempotent,
            { end: AttemptEnd.Answered, status: 500, executions: 2 },
            AttemptStep.Relay,
        ],
        ["a client error is relayed", idempotent, { end: AttemptEnd.Answered, status: 404 }, AttemptStep.Relay],
        ["a posting's failure is relayed", posting, { end: AttemptEnd.Answered, status: 500 }, AttemptStep.Relay],
        ["a lost posting is never sent again", posting, { end: AttemptEnd.Lost }, AttemptStep.Fail],
        ["a lost stream is never sent again", stream, { end: AttemptEnd.Lost }, AttemptStep.Fail],
        ["a broken stream is closed", stream, { end: AttemptEnd.Broken }, AttemptStep.BreakOff],
        ["a broken stream is resumed", resumable, { end: AttemptEnd.Broken }, AttemptStep.SendAgain],
        [
            "a posting not executed goes elsewhere",
            posting,
            { end: AttemptEnd.NotExecuted, executions: 0 },
            AttemptStep.SendAgain,
        ],
        [
            "a posting not sent goes elsewhere",
            posting,
            { end: AttemptEnd.NotSent, executions: 0 },
            AttemptStep.SendAgain,
        ],
        ["a request out of time is failed", idempotent, { end: AttemptEnd.TimedOut }, AttemptStep.Fail],
        ["a caller that left is let go", idempotent, { end: AttemptEnd.CallerGone }, AttemptStep.Finish],
        [
            "without a budget the caller is told that nothing ran",
            idempotent,
            { end: AttemptEnd.NotExecuted, executions: 0, chargeSend: () => false },
            AttemptStep.Refuse,
        ],
        [
            "nothing is refused as not run if an earlier attempt may have run",
            idempotent,
            { end: AttemptEnd.NotExecuted, executions: 1, chargeSend: () => false },
            AttemptStep.Fail,
        ],
    ] as const;
    for (const [name, route, changes, expected] of cases) {
        it(name, () => assert.equal(decideAttemptStep(route, makeState(changes)), expected));
    }

    it("never executes more often than the route allows, nor refuses what may have run", () => {
        const anyRoute = fc.constantFrom(idempotent, posting, stream, resumable);
        const anyEnd = fc.constantFrom(...Object.values(AttemptEnd));
        fc.assert(
            fc.property(
                anyRoute,
                anyEnd,
                fc.nat(3),
                fc.nat(5),
                fc.boolean(),
                fc.boolean(),
                (route, end, executions, sends, hasTime, hasBudget) => {
                    const step = decideAttemptStep(
                        route,
                        makeState({ end, status: 500, executions, sends, hasTime, chargeSend: () => hasBudget }),
                    );
                    const mayExecute = end === AttemptEnd.NotSent || end === AttemptEnd.NotExecuted;
                    if (step === AttemptStep.SendAgain) {
                        assert.ok(hasTime && sends < SENDS_MAX);
                        assert.ok(mayExecute || (isRepeatable(route) && executions < route.attemptsMax));
                    }
                    if (step === AttemptStep.Refuse) {
                        assert.equal(executions, 0);
                        assert.ok(mayExecute);
                    }
                },
            ),
            { seed: 7 },
        );
    });
});
