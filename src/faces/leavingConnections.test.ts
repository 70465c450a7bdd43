import assert from "node:assert/strict";
import net from "node:net";
import { afterEach, describe, it } from "node:test";
import { closeChannel, sendMessage } from "../base/csp";
import { FinishReason } from "../model/request";
import { AnswerEventKind } from "../tasks/execution/executionClient";
import { createFaceFixture, CREW_KEY, type FaceFixture, type StartedChat } from "./_testing/createFaceFixture";

let face: FaceFixture;

afterEach(() => face.dispose());

// Guards against requests that end without an answer because their connection is closed first.
describe("connections of a listener that leaves", () => {
    it("carry the answers to all pipelined requests before they close", async () => {
        face = await createFaceFixture({ play: started => void sendAnswerLater(started) });
        face.listener.announceLeaving();
        const received = await sendText(formatChat({}) + formatChat({}) + formatChat({}));
        assert.equal(received.match(/HTTP\/1\.1 200 OK/g)?.length, 3);
        assert.equal(received.match(/connection: close/gi)?.length, 1);
    });

    it("take no request behind an answer that has announced the close", async () => {
        face = await createFaceFixture({ play: started => void sendAnswerLater(started) });
        face.listener.announceLeaving();
        const socket = net.connect(face.listener.port, "127.0.0.1");
        const received = readAll(socket);
        socket.write(formatChat({ stream: true }));
        socket.once("data", () => socket.write(formatChat({})));
        await received;
        assert.equal(face.started.length, 1);
    });

    it("refuse a request that arrives as they are closed", async () => {
        face = await createFaceFixture();
        const socket = net.connect(face.listener.port, "127.0.0.1");
        const received = readAll(socket);
        await new Promise(resolve => socket.once("connect", resolve));
        await new Promise(resolve => setTimeout(resolve, 50));
        face.listener.refuseNew();
        socket.write(formatChat({}));
        await face.listener.finish(2_000);
        face.dispose();
        assert.match(await received, /^HTTP\/1\.1 503 [\s\S]*"not_run"/);
    });

    it("are told of the close before they are closed", async () => {
        face = await createFaceFixture();
        const socket = net.connect(face.listener.port, "127.0.0.1");
        const received = readAll(socket);
        await new Promise(resolve => socket.once("connect", resolve));
        face.listener.refuseNew();
        await face.listener.finish(2_000);
        assert.equal(socket.destroyed, true);
        assert.equal(await received, "");
    });
});

async function sendAnswerLater(started: StartedChat): Promise<void> {
    const batch = { offset: 0, texts: ["Yes."] };
    await sendMessage(started.answers, { kind: AnswerEventKind.Tokens, batch });
    await new Promise(resolve => setTimeout(resolve, 50));
    await sendMessage(started.answers, {
        kind: AnswerEventKind.Finished,
        reason: FinishReason.Stop,
        usage: { promptTokens: 5, outputTokens: 1, cachedTokens: 0 },
    });
    closeChannel(started.answers);
}

function sendText(text: string): Promise<string> {
    const socket = net.connect(face.listener.port, "127.0.0.1");
    socket.write(text);
    return readAll(socket);
}

function readAll(socket: net.Socket): Promise<string> {
    let received = "";
    socket.on("data", chunk => (received += chunk.toString()));
    socket.on("error", error => (received += error.message));
    return new Promise(resolve => socket.once("close", () => resolve(received)));
}

function formatChat(options: object): string {
    const body = JSON.stringify({ model: "assistant", messages: [{ role: "user", content: "Is it?" }], ...options });
    const head = ["POST /v1/chat/completions HTTP/1.1", "host: node", `authorization: Bearer ${CREW_KEY}`];
    return [...head, `content-length: ${body.length}`, "", body].join("\r\n");
}
