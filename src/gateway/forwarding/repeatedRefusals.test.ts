import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { afterEach, describe, it } from "node:test";
import { makeRoute } from "../../decisions/gateway/_testing/makeRoute";
import { RouteKind } from "../../model/gateway";
import { createGatewayHarness, type GatewayHarness } from "../_testing/createGatewayHarness";
import { type EndpointScript, formatAnswer } from "../_testing/startScriptedEndpoint";

const ROUTE = makeRoute({ kind: RouteKind.NonIdempotent, attemptsMax: 1 });
const IDS = ["attempt-1", "attempt-2", "attempt-3"];

let harness: GatewayHarness;
afterEach(() => harness.dispose());

const readId = (request: string) => /Attempt-Id: (\S+)/i.exec(request)?.[1] ?? "";
const formatRefusal = (status: string, id: string | undefined) =>
    formatAnswer("", {
        status,
        headers: ["Redwinglift-Not-Executed: 1", ...(id === undefined ? [] : [`Redwinglift-Attempt-Id: ${id}`])],
    });
const formatOwn = (id: string) => formatAnswer(`for ${id}`, { headers: [`Redwinglift-Attempt-Id: ${id}`] });

/** When the copy of the refusal is written, relative to the answer to the next request. */
const MOMENTS: Readonly<Record<string, (socket: Socket, copy: string, own: string) => void>> = {
    "before the next answer in one packet": (socket, copy, own) => void socket.write(copy + own),
    "before the next answer": (socket, copy, own) => {
        socket.write(copy);
        setTimeout(() => socket.write(own), 20);
    },
    "in place of the next answer": (socket, copy) => void socket.write(copy),
    "after the next answer in one packet": (socket, copy, own) => void socket.write(own + copy),
};

// Guards against: callers are told "not run" for requests that an endpoint runs, or such a request runs twice.
describe("a refusal that an endpoint writes once more on a kept connection", () => {
    for (const status of ["503 Service Unavailable", "429 Too Many Requests", "421 Misdirected Request"]) {
        for (const hasId of [true, false]) {
            for (const [moment, write] of Object.entries(MOMENTS)) {
                it(`is no answer to the next request: ${status}, ${moment}, ${hasId ? "with" : "without"} an id`, async () => {
                    const executed: string[] = [];
                    const refusedSockets = new Set<Socket>();
                    const script: EndpointScript = (request, socket, earlier) => {
                        const id = readId(request);
                        const refusal = formatRefusal(status, hasId ? IDS[0] : undefined);
                        if (id === IDS[0]) {
                            refusedSockets.add(socket);
                            socket.write(refusal);
                            return;
                        }
                        executed.push(id);
                        if (refusedSockets.delete(socket) || (hasId && earlier === 1)) {
                            write(socket, refusal, formatOwn(id));
                        } else {
                            socket.write(formatOwn(id));
                        }
                    };
                    harness = await createGatewayHarness(ROUTE, [script, script]);
                    for (const id of IDS) {
                        const answer = await harness.send({ headers: { "redwinglift-attempt-id": id } });
                        const wasExecuted = executed.includes(id);
                        assert.ok(!(wasExecuted && [421, 429, 503].includes(answer.status)), `${id}: ${answer.status}`);
                        assert.ok(answer.status !== 200 || answer.body === `for ${id}`, answer.body);
                    }
                    assert.equal(new Set(executed).size, executed.length);
                });
            }
        }
    }
});
