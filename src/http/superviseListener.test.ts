import assert from "node:assert/strict";
import { once } from "node:events";
import http from "node:http";
import net, { type AddressInfo } from "node:net";
import { afterEach, describe, it } from "node:test";
import { createSystemClock } from "../base/createSystemClock";
import { FailureKind } from "../base/failure";
import { createLog } from "../base/log/createLog";
import { LogFormat } from "../base/log/log";
import { superviseListener } from "./superviseListener";

const ADDRESS = "127.0.0.1";
/** An address for documentation, which no machine has. */
const ABSENT_ADDRESS = "192.0.2.1";

const servers: net.Server[] = [];
afterEach(() => servers.splice(0).forEach(server => server.close()));

/** Starts a server on a port that the operating system chooses; gives both. */
async function startHolder() {
    const holder = net.createServer(socket => socket.destroy());
    servers.push(holder);
    holder.listen(0, ADDRESS);
    await once(holder, "listening");
    return { holder, port: (holder.address() as AddressInfo).port };
}

function startListener(options: { readonly port: number; readonly address?: string; readonly limitMs?: number }) {
    const { port, address = ADDRESS, limitMs } = options;
    const lines: string[] = [];
    const retries = new AbortController();
    const server = http.createServer((_request, response) => response.end("served"));
    servers.push(server);
    const listener = superviseListener(
        { name: "callers", server, address, port },
        {
            clock: createSystemClock(),
            log: createLog({ format: LogFormat.Json, write: line => void lines.push(line) }),
            limitMs,
            signal: retries.signal,
        },
    );
    return {
        server,
        listener,
        retries,
        countLines: (text: string) => lines.filter(line => line.includes(text)).length,
    };
}

describe("a supervised listener", () => {
    it("listens once its port is free again, and logs that once", async () => {
        const { holder, port } = await startHolder();
        const { listener, countLines } = startListener({ port });
        setTimeout(() => holder.close(), 500);
        assert.equal((await listener.whenStarted).isOk(), true);
        assert.equal(await (await fetch(`http://${ADDRESS}:${port}/`)).text(), "served");
        assert.equal(countLines("listener can't listen"), 1);
        assert.equal(countLines("listener listens"), 1);
        const { isListening, failedAttempts } = listener.readState();
        assert.equal(isListening, true);
        assert.ok(failedAttempts > 1);
    });

    it("fails after its limit, and says where and why", async () => {
        const { port } = await startHolder();
        const { listener } = startListener({ port, limitMs: 300 });
        const failure = (await listener.whenStarted)._unsafeUnwrapErr();
        assert.equal(failure.kind, FailureKind.AddressUnavailable);
        assert.ok(failure.message.startsWith(`The listener callers can't listen on ${ADDRESS}:${port}: `));
        assert.match(failure.message, /EADDRINUSE/);
        assert.equal(listener.isListening(), false);
    });

    it("treats an address that isn't up likewise", async () => {
        const { listener } = startListener({ port: 0, address: ABSENT_ADDRESS, limitMs: 300 });
        assert.match((await listener.whenStarted)._unsafeUnwrapErr().message, /EADDRNOTAVAIL/);
        assert.ok(listener.readState().failedAttempts > 1);
    });

    it("fails on a port that can't exist", async () => {
        const { listener } = startListener({ port: 70_000, limitMs: 100 });
        assert.match((await listener.whenStarted)._unsafeUnwrapErr().message, /port/);
    });

    it("doesn't listen any more once its retries are ended", async () => {
        const { holder, port } = await startHolder();
        const { listener, retries } = startListener({ port });
        setTimeout(() => retries.abort(), 50);
        assert.equal((await listener.whenStarted)._unsafeUnwrapErr().kind, FailureKind.ShuttingDown);
        holder.close();
        await new Promise(resolve => setTimeout(resolve, 500));
        assert.equal(listener.isListening(), false);
    });

    // Guards against: an error of a server after its start becomes an uncaught exception (FAULT).
    it("counts errors after its start, and serves on", async () => {
        const { server, listener, countLines } = startListener({ port: 0 });
        await listener.whenStarted;
        [1, 2].forEach(() => server.emit("error", new Error("accept EMFILE")));
        const { errors, lastError } = listener.readState();
        assert.deepEqual({ errors, lastError }, { errors: 2, lastError: "accept EMFILE" });
        assert.equal(countLines("listener error"), 1);
        const { port } = server.address() as AddressInfo;
        assert.equal(await (await fetch(`http://${ADDRESS}:${port}/`)).text(), "served");
    });

    it("listens again if an error has closed its server", async () => {
        const { port, holder } = await startHolder();
        holder.close();
        const { server, listener } = startListener({ port });
        await listener.whenStarted;
        server.close();
        server.emit("error", new Error("closed"));
        while (!listener.isListening()) {
            await new Promise(resolve => setTimeout(resolve, 10));
        }
        assert.equal(await (await fetch(`http://${ADDRESS}:${port}/`)).text(), "served");
    });
});
