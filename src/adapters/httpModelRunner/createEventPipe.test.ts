import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { receiveMessage } from "../../base/csp";
import { type GenerationEvent, GenerationEventKind } from "../../model/request";
import { STREAM_EVENTS_WAITING } from "../constants";
import { createEventPipe } from "./createEventPipe";

const id = { requestId: "r", attempt: 1 };
const createEvent = (offset: number): GenerationEvent => ({
    kind: GenerationEventKind.Tokens,
    id,
    batch: { offset, texts: ["a"] },
});

describe("An event pipe", () => {
    it("stops the socket while its reader lags, and lets it go on when the reader has caught up", async () => {
        const flow: boolean[] = [];
        const pipe = createEventPipe(isBlocked => flow.push(isBlocked));
        const sent = Array.from({ length: STREAM_EVENTS_WAITING + 3 }, (_, offset) => createEvent(offset));
        sent.slice(0, STREAM_EVENTS_WAITING).forEach(pipe.pushEvent);
        assert.deepEqual(flow, []);
        sent.slice(STREAM_EVENTS_WAITING).forEach(pipe.pushEvent);
        assert.deepEqual(flow, [true]);
        const received: (GenerationEvent | undefined)[] = [];
        while (received.length < sent.length) {
            received.push(await receiveMessage(pipe.events));
        }
        await new Promise(resolve => setImmediate(resolve));
        assert.deepEqual(received, sent);
        assert.deepEqual(flow, [true, false]);
    });

    it("ends after its last event, whatever is pushed later, and also while its reader lags", async () => {
        for (const waiting of [1, STREAM_EVENTS_WAITING + 5]) {
            const pipe = createEventPipe(() => undefined);
            Array.from({ length: waiting }, (_, offset) => pipe.pushEvent(createEvent(offset)));
            pipe.endWith(createEvent(waiting));
            pipe.pushEvent(createEvent(99));
            pipe.endWith(createEvent(99));
            const offsets: number[] = [];
            for (let event = await receiveMessage(pipe.events); event; event = await receiveMessage(pipe.events)) {
                offsets.push(event.kind === GenerationEventKind.Tokens ? event.batch.offset : -1);
            }
            assert.deepEqual(
                offsets,
                Array.from({ length: waiting + 1 }, (_, offset) => offset),
            );
        }
    });
});
