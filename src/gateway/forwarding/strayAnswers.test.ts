import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { afterEach, describe, it } from "node:test";
import { makeRoute } from "../../decisions/gateway/_testing/makeRoute";
import { RouteKind } from "../../model/gateway";
import { createGatewayHarness, type GatewayHarness } from "../_testing/createGatewayHarness";
import { type EndpointScript, formatAnswer } from "../_testing/startScriptedEndpoint";

const ROUTE = makeRoute({ kind: RouteKind.NonIdempotent, attemptsMax: 1 });

let harness: GatewayHarness;
afterEach(() => harness.dispose());

const sleep = (delayMs: number) => new Promise<void>(resolve => setTimeout(resolve, delayMs));
const readId = (request: string) => /Attempt-Id: (\S+)/i.exec(request)?.[1] ?? "";
const formatOwn = (request: string, hasId: boolean) =>
    formatAnswer(`for ${readId(request)}`, {
        headers: hasId ? [`Redwinglift-Attempt-Id: ${readId(request)}`] : [],
    });

/** Sends two requests one after the other to an endpoint; gives both bodies, and `undefined` for a failure. */
async function sendTwice(script: EndpointScript, pauseMs: number): Promise<readonly (string | undefined)[]> {
    harness = await createGatewayHarness(ROUTE, [script]);
    const bodies: (string | undefined)[] = [];
    for (const id of ["attempt-1", "attempt-2"]) {
        const answer = await harness.send({ headers: { "redwinglift-attempt-id": id } });
        bodies.push(answer.status === 200 && answer.isComplete ? answer.body : undefined);
        await sleep(pauseMs);
    }
    return bodies;
}

/** When the extra copy of the first answer is sent. */
const MOMENTS: Readonly<Record<string, (socket: Socket, earlier: number, own: string, copy: string) => void>> = {
    "in one packet with the answer": (socket, earlier, own, copy) =>
        void socket.write(earlier === 0 ? own + copy : own),
    "while the connection is idle": (socket, earlier, own, copy) => {
        socket.write(own);
        if (earlier === 0) {
            setTimeout(() => socket.write(copy), 20);
        }
    },
    "when the connection is in use again": (socket, earlier, own, copy) => {
        socket.write(earlier === 0 ? own : copy);
        if (earlier > 0) {
            setTimeout(() => socket.write(own), 20);
        }
    },
    "in one packet before the next answer": (socket, earlier, own, copy) =>
        void socket.write(earlier === 0 ? own : copy + own),
};

// Guards against an extra copy of an answer that reaches the caller of another request.
describe("an extra copy of an answer never reaches another caller", () => {
    for (const hasId of [true, false]) {
        for (const [moment, write] of Object.entries(MOMENTS)) {
            it(`${moment}, ${hasId ? "with" : "without"} the id of its request`, async () => {
                let first: string | undefined;
                const bodies = await sendTwice((request, socket, earlier) => {
                    first ??= formatOwn(request, hasId);
                    write(socket, earlier, formatOwn(request, hasId), first);
                }, 60);
                assert.equal(bodies[0], "for attempt-1");
                assert.ok(bodies[1] === undefined || bodies[1] === "for attempt-2", bodies[1]);
            });
        }
    }

    it("as a statement that the request was not executed", async () => {
        const refusal = formatAnswer("", {
            status: "503 Service Unavailable",
            headers: ["Redwinglift-Not-Executed: 1"],
        });
        harness = await createGatewayHarness(ROUTE, [
            (request, socket, earlier) => void socket.write(earlier === 0 ? formatOwn(request, true) : refusal),
        ]);
        assert.equal((await harness.send()).status, 200);
        assert.equal((await harness.send()).status, 502);
    });
});
