import assert from "node:assert/strict";
import { EventEmitter } from "node:events";
import type { IncomingMessage } from "node:http";
import { describe, it } from "node:test";
import { createRequestTracker } from "./createRequestTracker";

describe("the requests of a connection", () => {
    it("are open from their head to the end of their answer, and bytes after the last whole one belong to none", () => {
        const socket = { bytesRead: 0 };
        const tracker = createRequestTracker(socket);
        socket.bytesRead = 10;
        assert.deepEqual([tracker.hasOpenRequests(), tracker.countUnfinishedBytes()], [false, 10]);
        const request = new EventEmitter() as IncomingMessage;
        tracker.beginRequest(request);
        assert.deepEqual([tracker.hasOpenRequests(), tracker.countUnfinishedBytes()], [true, 0]);
        tracker.endRequest();
        socket.bytesRead = 25;
        assert.deepEqual([tracker.hasOpenRequests(), tracker.countUnfinishedBytes()], [false, 0], "its body arrives");
        request.emit("end");
        assert.equal(tracker.countUnfinishedBytes(), 0);
        socket.bytesRead = 29;
        assert.equal(tracker.countUnfinishedBytes(), 4);
    });
});
