import assert from "node:assert/strict";
import net, { type AddressInfo, type Socket } from "node:net";
import { afterEach, describe, it } from "node:test";
import { makeRoute } from "../../decisions/gateway/_testing/makeRoute";
import { RouteKind } from "../../model/gateway";
import { createGatewayHarness, type GatewayHarness } from "../_testing/createGatewayHarness";

enum Framing {
    Length = "a length",
    Chunks = "chunks",
    UntilClose = "its connection's end",
}

enum Ending {
    Complete = "complete",
    Cut = "cut midway",
    CutInside = "cut inside an event",
    Reset = "reset midway",
    ResetAtEnd = "reset after its last byte",
    Extra = "followed by other bytes",
}

const WHOLE = ["hello ", "world"] as const;
const STREAM = ["id: 1\ndata: x\n\n", "id: 2\ndata: y\n\n"] as const;
const EXTRA = "HTTP/1.1 200 OK\r\nRedwinglift-Response-Seal: 9\r\nContent-Length: 3\r\n\r\nold";
const GARBAGE = "\u0000\u0001 nothing of the protocol\r\n\r\n";
const HEADS: Readonly<Record<Framing, string>> = {
    [Framing.Length]: "Content-Length: ",
    [Framing.Chunks]: "Transfer-Encoding: chunked",
    [Framing.UntilClose]: "Connection: close",
};

type Parts = readonly [string, string];

/** Formats the parts of an answer, as the framing sends them, and what ends them. */
function formatParts(framing: Framing, [first, second]: Parts): { first: string; second: string; end: string } {
    const toChunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;
    return framing === Framing.Chunks
        ? { first: toChunk(first), second: toChunk(second), end: "0\r\n\r\n" }
        : { first, second, end: "" };
}

/** Writes the answer and ends it; without a length or chunks only the connection's end ends it. */
const ENDINGS: Readonly<Record<Ending, (socket: Socket, framing: Framing, parts: Parts, extra: string) => void>> = {
    [Ending.Complete]: (socket, framing, parts) => {
        const { first, second, end } = formatParts(framing, parts);
        socket.write(first + second + end);
        if (framing === Framing.UntilClose) {
            socket.end();
        }
    },
    [Ending.Cut]: (socket, framing, parts) => socket.end(formatParts(framing, parts).first),
    [Ending.CutInside]: (socket, framing, [first, second]) =>
        socket.end(formatParts(framing, [first + second.slice(0, 9), ""]).first),
    [Ending.Reset]: (socket, framing, parts) =>
        void socket.write(formatParts(framing, parts).first, () => setTimeout(() => socket.resetAndDestroy(), 30)),
    [Ending.ResetAtEnd]: (socket, framing, parts) => {
        const { first, second, end } = formatParts(framing, parts);
        socket.write(first + second + end, () => socket.resetAndDestroy());
    },
    [Ending.Extra]: (socket, framing, parts, extra) => {
        const { first, second, end } = formatParts(framing, parts);
        socket.write(first + second + end + extra);
    },
};

let harness: GatewayHarness;
afterEach(() => harness.dispose());

async function sendAnswer(framing: Framing, ending: Ending, isStream: boolean, extra = EXTRA, version = "1.1") {
    const parts = isStream ? STREAM : WHOLE;
    const route = makeRoute({
        kind: isStream ? RouteKind.Streaming : RouteKind.NonIdempotent,
        attemptsMax: 1,
        gapTargetMs: 100,
    });
    harness = await createGatewayHarness(route, [
        (request, socket) => {
            const id = /Attempt-Id: (\S+)/i.exec(request)?.[1] ?? "";
            const length = framing === Framing.Length ? String(parts.join("").length) : "";
            socket.write(
                [
                    `HTTP/${version} 200 OK`,
                    `Redwinglift-Attempt-Id: ${id}`,
                    "Redwinglift-Response-Seal: 3e1b.07",
                    `Content-Type: ${isStream ? "text/event-stream" : "text/plain"}`,
                    HEADS[framing] + length,
                    "",
                    "",
                ].join("\r\n"),
            );
            ENDINGS[ending](socket, framing, parts, extra);
        },
    ]);
    return harness.send();
}

const isMarkedByEnd = (framing: Framing) => framing === Framing.UntilClose;
const COMPLETE_ENDINGS: readonly Ending[] = [Ending.Complete, Ending.Extra];

/** What the caller must see: the whole text as complete, the first part as complete, or nothing that looks complete. */
function expectText(framing: Framing, ending: Ending, [first, second]: Parts): string | undefined {
    if (COMPLETE_ENDINGS.includes(ending) || (ending === Ending.ResetAtEnd && !isMarkedByEnd(framing))) {
        return first + second;
    }
    // Without a length or chunks, a regular end of the connection is the end of the answer.
    return ending === Ending.Cut && isMarkedByEnd(framing) ? first : undefined;
}

// Guards against answers that end early and look complete, and against complete ones that are lost, in each framing.
for (const [kind, isStream] of [
    ["a whole answer", false],
    ["a stream", true],
] as const) {
    describe(kind, () => {
        for (const framing of Object.values(Framing)) {
            for (const ending of Object.values(Ending)) {
                if ((!isStream && ending === Ending.CutInside) || (ending === Ending.Extra && isMarkedByEnd(framing))) {
                    continue;
                }
                const expected = expectText(framing, ending, isStream ? STREAM : WHOLE);
                it(`with ${framing}, ${ending}, ${expected === undefined ? "does not look" : "is"} complete`, async () => {
                    const answer = await sendAnswer(framing, ending, isStream);
                    const isSuccess = answer.status === 200 && answer.isComplete;
                    assert.equal(isSuccess ? answer.body : undefined, expected);
                    assert.ok(!isSuccess || hasFraming(answer.headers), "the caller can't tell that it is complete");
                });
            }
        }
        for (const framing of [Framing.Length, Framing.Chunks]) {
            it(`with ${framing}, followed by bytes of no protocol, is complete`, async () => {
                const answer = await sendAnswer(framing, Ending.Extra, isStream, GARBAGE);
                assert.deepEqual([answer.status, answer.isComplete], [200, true]);
                assert.equal(answer.body, (isStream ? STREAM : WHOLE).join(""));
            });
        }
        it("of an older protocol version, which ends with its connection, is complete", async () => {
            const answer = await sendAnswer(Framing.UntilClose, Ending.Complete, isStream, "", "1.0");
            assert.deepEqual([answer.status, answer.isComplete], [200, true]);
        });
    });
}

const hasFraming = (headers: Readonly<Record<string, unknown>>) =>
    headers["content-length"] !== undefined || headers["transfer-encoding"] === "chunked";

// Guards against a stream that was cut and looks complete to a caller without chunks.
describe("a stream to a caller of an older protocol version", () => {
    for (const [ending, expected] of [
        [Ending.Complete, "end"],
        [Ending.Cut, "reset"],
    ] as const) {
        it(`that is ${ending} finishes with the connection's ${expected}`, async () => {
            await sendAnswer(Framing.Length, ending, true);
            const { port } = harness.listener.server.address() as AddressInfo;
            const observed = await new Promise<string>(resolve => {
                const head = ["GET /a/b HTTP/1.0", "Host: news.example", "Authorization: Bearer key-1"];
                const socket = net.connect(port, "127.0.0.1", () =>
                    socket.write([...head, "Redwinglift-Attempt-Id: attempt-1", "", ""].join("\r\n")),
                );
                let text = "";
                socket.on("data", data => (text += String(data)));
                socket.on("close", () => assert.match(text, /^HTTP\/1\.1 200 /));
                socket.on("end", () => resolve("end"));
                socket.on("error", () => resolve("reset"));
            });
            assert.equal(observed, expected);
        });
    }
});
