import assert from "node:assert/strict";
import { once } from "node:events";
import http from "node:http";
import net, { type AddressInfo } from "node:net";
import { afterEach, describe, it } from "node:test";
import { createSystemClock } from "../../base/createSystemClock";
import { createLog } from "../../base/log/createLog";
import { LogFormat } from "../../base/log/log";
import type { ListenerState } from "../../http/superviseListener";
import { startListeners } from "./startListeners";

const ADDRESS = "127.0.0.1";
const LIMIT_MS = 300;

const servers: net.Server[] = [];
let retries = new AbortController();
afterEach(() => {
    retries.abort();
    servers.splice(0).forEach(server => server.close());
});

/** Starts one listener on a free port and one on a port that is taken. */
async function startTwo(isSecondNeeded: boolean) {
    const holder = net.createServer(socket => socket.destroy());
    holder.listen(0, ADDRESS);
    await once(holder, "listening");
    const [first, second] = [http.createServer(), http.createServer()];
    servers.push(holder, first, second);
    retries = new AbortController();
    const { port } = holder.address() as AddressInfo;
    return startListeners(
        [
            { name: "callers", server: first, address: ADDRESS, port: 0, isNeeded: true },
            { name: "metrics", server: second, address: ADDRESS, port, isNeeded: isSecondNeeded },
        ],
        {
            clock: createSystemClock(),
            log: createLog({ format: LogFormat.Json, write: () => undefined }),
            limitMs: LIMIT_MS,
            signal: retries.signal,
        },
    );
}

describe("the listeners of a gateway", () => {
    it("have started without one that isn't needed, which a dump shows as missing", async () => {
        const listeners = await startTwo(false);
        assert.equal((await listeners.whenStarted).isOk(), true);
        assert.equal(listeners.areNeededListening(), true);
        const states = listeners.dumpState() as readonly (ListenerState & { readonly name: string })[];
        assert.deepEqual(
            states.map(({ name, isListening }) => [name, isListening]),
            [
                ["callers", true],
                ["metrics", false],
            ],
        );
    });

    // Guards against: a process counts as started while one of the listeners that it needs is missing (FAULT).
    it("have not started while one that is needed is missing, and fail after the limit", async () => {
        const listeners = await startTwo(true);
        await new Promise(resolve => setTimeout(resolve, LIMIT_MS / 2));
        assert.equal(listeners.areNeededListening(), false);
        assert.match((await listeners.whenStarted)._unsafeUnwrapErr().message, /metrics .*EADDRINUSE/);
    });
});
