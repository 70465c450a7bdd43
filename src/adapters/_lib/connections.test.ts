import assert from "node:assert/strict";
import net from "node:net";
import { describe, it, type TestContext } from "node:test";
import { createApplicationRunnerStandin } from "../../standins/createApplicationRunnerStandin";
import { createPlatformStandin } from "../../standins/createPlatformStandin";
import { FaultKind } from "../../standins/fault";
import { waitUntil } from "../contracts/waitUntil";
import { createConnectionPool } from "./createConnectionPool";
import { LossReason, sendHttpCall } from "./sendHttpCall";

const CALL = { method: "POST", path: "/call", timeouts: { connectMs: 100, firstByteMs: 2_000 } };

async function createParts(context: TestContext, options: Parameters<typeof createConnectionPool>[0], latencyMs = 1) {
    const runner = await createApplicationRunnerStandin({ latencyMs });
    const pool = createConnectionPool(options);
    context.after(() => [pool, runner].forEach(owned => owned.dispose()));
    return { runner, pool };
}

describe("A connection pool", () => {
    it("uses one connection again for calls that follow each other", async context => {
        const { runner, pool } = await createParts(context, {});
        for (let index = 0; index < 5; index++) {
            assert.ok((await sendHttpCall(runner, CALL, pool)).isAnswered);
        }
        assert.equal(runner.countConnections(), 1);
    });

    // Guards against the late second copy of an answer being given to the next call on its connection.
    it("uses no connection again on which something arrived unasked", async context => {
        let answers = 0;
        const server = net.createServer(socket => {
            socket.on("error", () => undefined);
            socket.on("data", () => {
                const body = `answer ${++answers}`;
                const text = `HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
                socket.write(text);
                setTimeout(() => socket.write(text), 20);
            });
        });
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        const target = { address: "127.0.0.1", port: (server.address() as net.AddressInfo).port };
        const pool = createConnectionPool();
        context.after(() => [pool.dispose(), server.close()]);
        for (const expected of ["answer 1", "answer 2", "answer 3"]) {
            const outcome = await sendHttpCall(target, CALL, pool);
            assert.equal(outcome.isAnswered && outcome.body.toString(), expected);
            await new Promise(resolve => setTimeout(resolve, 60));
        }
    });

    it("closes idle connections before servers do", async context => {
        const { runner, pool } = await createParts(context, { idleMs: 50 });
        await sendHttpCall(runner, CALL, pool);
        assert.equal(runner.countConnections(), 1);
        await waitUntil(() => runner.countConnections() === 0, "the idle connection is closed");
    });

    it("does not take a call in progress for idle", async context => {
        const { runner, pool } = await createParts(context, { idleMs: 20 }, 150);
        assert.ok((await sendHttpCall(runner, CALL, pool)).isAnswered);
    });

    it("trusts no other idle connection to a place where one was found silent", async context => {
        const { runner, pool } = await createParts(context, {}, 20);
        await Promise.all([1, 2, 3].map(() => sendHttpCall(runner, CALL, pool)));
        assert.equal(runner.countConnections(), 3);
        runner.setFaults([{ kind: FaultKind.ConnectionsSilent }]);
        const silentCall = { ...CALL, timeouts: { firstByteMs: 100 } };
        assert.equal((await sendHttpCall(runner, silentCall, pool)).isAnswered, false);
        assert.ok((await sendHttpCall(runner, CALL, pool)).isAnswered);
    });

    it("fails a call that gets none of the capped connections in time, with nothing sent", async context => {
        const { runner, pool } = await createParts(context, { connectionsPerHost: 1 }, 300);
        const first = sendHttpCall(runner, CALL, pool);
        await waitUntil(() => runner.listExecutions().length === 1, "the first call is being executed");
        const second = await sendHttpCall(runner, CALL, pool);
        assert.ok(!second.isAnswered);
        assert.equal(second.reason, LossReason.Silent);
        assert.equal(second.hasSentBytes, false);
        assert.ok((await first).isAnswered);
        assert.equal(runner.listExecutions().length, 1);
    });
});

describe("A stand-in", () => {
    it("answers a call that its handler can't read with status 500 and goes on serving", async context => {
        const platform = await createPlatformStandin();
        context.after(platform.dispose);
        const body = Buffer.from("{");
        const broken = await sendHttpCall(platform, { method: "POST", path: "/table/transactions", body });
        assert.equal(broken.isAnswered && broken.status, 500);
        assert.ok((await sendHttpCall(platform, { method: "GET", path: "/vms" })).isAnswered);
    });
});
