import assert from "node:assert/strict";
import https from "node:https";
import type { AddressInfo } from "node:net";
import { describe, it } from "node:test";
import { generate } from "selfsigned";
import { FailureKind } from "../../base/failure";
import { createHttpTable } from "../httpTable/createHttpTable";
import { createConnectionPool } from "./createConnectionPool";
import { sendHttpCall } from "./sendHttpCall";

async function startTlsServer() {
    const identity = await generate([{ name: "commonName", value: "platform" }], {
        extensions: [{ name: "subjectAltName", altNames: [{ type: 7, ip: "127.0.0.1" }] }],
    });
    const server = https.createServer({ key: identity.private, cert: identity.cert }, (_request, response) => {
        response.end(JSON.stringify({ row: { key: "k", value: "v", version: 1, token: "t" } }));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    return { server, port, certificate: identity.cert };
}

describe("connections to the platform by TLS", () => {
    it("refuse a certificate that no trusted authority signed, as nothing having taken effect or as unknown", async () => {
        const { server, port } = await startTlsServer();
        const table = createHttpTable({ address: "127.0.0.1", port, isTls: true });
        const row = await table.readRow("k");
        assert.equal(row.isErr() && row.error.kind, FailureKind.StoreUnavailable);
        table.dispose();
        server.close();
    });

    it("carry calls and keep connections where the authority is trusted", async () => {
        const { server, port, certificate } = await startTlsServer();
        const target = { address: "127.0.0.1", port, isTls: true };
        const pool = createConnectionPool({ isTls: true });
        (pool.agent as https.Agent).options.ca = certificate;
        let connections = 0;
        server.on("secureConnection", () => connections++);
        const first = await sendHttpCall(target, { method: "GET", path: "/table/row" }, pool);
        const second = await sendHttpCall(target, { method: "GET", path: "/table/row" }, pool);
        assert.deepEqual([first.isAnswered, second.isAnswered, connections], [true, true, 1]);
        pool.dropIdleConnections(target);
        const third = await sendHttpCall(target, { method: "GET", path: "/table/row" }, pool);
        assert.deepEqual([third.isAnswered, connections], [true, 2]);
        pool.dispose();
        server.close();
    });
});
