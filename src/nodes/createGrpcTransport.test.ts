import assert from "node:assert/strict";
import fs from "node:fs";
import net from "node:net";
import os from "node:os";
import path from "node:path";
import { after, before, describe, it } from "node:test";
import { generate } from "selfsigned";
import { createManualClock } from "../base/createManualClock";
import { createSystemClock } from "../base/createSystemClock";
import { FailureKind } from "../base/failure";
import { FailureError } from "../base/failureError";
import { createGrpcTransport, type GrpcTransport } from "./createGrpcTransport";
import { createTlsWatcher, type NodeTlsFiles } from "./createTlsWatcher";
import { NodeCall } from "./nodeTransport";

const clock = createSystemClock();
const echo = async (_call: NodeCall, body: Uint8Array) => body;
const body = Buffer.from("hello");

async function startEcho(options: Partial<Parameters<typeof createGrpcTransport>[0]> = {}): Promise<GrpcTransport> {
    const transport = await createGrpcTransport({ address: "127.0.0.1", port: 0, clock, ...options });
    transport.setCallHandler(echo);
    return transport;
}

const callEcho = (from: GrpcTransport, port: number, isNewConnection = false, timeoutMs = 2_000) =>
    from.callNode({ address: "127.0.0.1", port }, NodeCall.Exchange, body, { timeoutMs, isNewConnection });

describe("links between nodes", () => {
    it("carry bodies both ways and count them", async () => {
        const [left, right] = [await startEcho(), await startEcho()];
        try {
            const answer = await callEcho(left, right.port);
            assert.deepEqual(Buffer.from(answer._unsafeUnwrap()), body);
            assert.equal(left.countTraffic().calls[NodeCall.Exchange], 1);
            assert.ok(right.countTraffic().receivedBytes >= body.length);
        } finally {
            left.dispose();
            right.dispose();
        }
    });

    it("refuse a plain listener beyond loopback unless it is allowed", async () => {
        await assert.rejects(createGrpcTransport({ address: "0.0.0.0", port: 0, clock }), FailureError);
        const allowed = await createGrpcTransport({ address: "0.0.0.0", port: 0, clock, allowsPlain: true });
        allowed.dispose();
    });

    it("report a handler's rejection as a failed call", async () => {
        const [left, right] = [await startEcho(), await startEcho()];
        right.setCallHandler(() => Promise.reject(new Error("no")));
        try {
            assert.equal((await callEcho(left, right.port))._unsafeUnwrapErr().kind, FailureKind.EndpointFailed);
        } finally {
            left.dispose();
            right.dispose();
        }
    });

    it("replace a connection that went silent, while a separate connection works at once", async () => {
        const [left, right] = [await startEcho(), await startEcho()];
        const relay = await startRelay(right.port);
        try {
            assert.ok((await callEcho(left, relay.port)).isOk());
            relay.silenceOpenConnections();
            const silent = await callEcho(left, relay.port, false, 200);
            assert.equal(silent._unsafeUnwrapErr().kind, FailureKind.EndpointSilent);
            assert.ok((await callEcho(left, relay.port, true)).isOk());
            assert.ok((await callEcho(left, relay.port)).isOk());
        } finally {
            left.dispose();
            right.dispose();
            relay.close();
        }
    });
});

describe("mutual TLS between nodes", () => {
    let folder: string;
    before(() => {
        folder = fs.mkdtempSync(path.join(os.tmpdir(), "redwinglift-tls-"));
    });
    after(() => fs.rmSync(folder, { recursive: true }));

    const writeFiles = async (name: string, pems: Pems, authorities: string): Promise<NodeTlsFiles> => {
        const files = {
            certificateFile: path.join(folder, `${name}.crt`),
            keyFile: path.join(folder, `${name}.key`),
            authorityFile: path.join(folder, `${name}.ca`),
        };
        fs.writeFileSync(files.certificateFile, pems.cert);
        fs.writeFileSync(files.keyFile, pems.private);
        fs.writeFileSync(files.authorityFile, authorities);
        return files;
    };

    it("accepts nodes with signed certificates and refuses others", async () => {
        const [good, other] = [await createPems(), await createPems()];
        const tls = await createTlsWatcher(await writeFiles("a", good, good.cert), { clock: createManualClock() });
        const strange = await createTlsWatcher(await writeFiles("b", other, good.cert), { clock: createManualClock() });
        const [left, right, stranger] = [
            await startEcho({ tls }),
            await startEcho({ tls }),
            await startEcho({ tls: strange }),
        ];
        const plain = await startEcho();
        try {
            assert.ok((await callEcho(left, right.port)).isOk());
            assert.ok((await callEcho(stranger, right.port, false, 1_000)).isErr());
            assert.ok((await callEcho(plain, right.port, false, 1_000)).isErr());
        } finally {
            [left, right, stranger, plain].forEach(transport => transport.dispose());
        }
    });

    it("takes new keys without a restart and accepts old and new ones during the roll", async () => {
        const [old, next] = [await createPems(), await createPems()];
        const both = `${old.cert}\n${next.cert}`;
        const manual = createManualClock();
        const [leftFiles, rightFiles] = [await writeFiles("l", old, both), await writeFiles("r", old, both)];
        const [leftTls, rightTls] = [
            await createTlsWatcher(leftFiles, { clock: manual }),
            await createTlsWatcher(rightFiles, { clock: manual }),
        ];
        const [left, right] = [await startEcho({ tls: leftTls }), await startEcho({ tls: rightTls })];
        try {
            assert.ok((await callEcho(left, right.port)).isOk());
            const changed = new Promise<void>(resolve => rightTls.subscribeChanges(() => resolve()));
            await writeFiles("r", next, both);
            manual.advanceMs(5_000);
            await changed;
            assert.ok((await callEcho(left, right.port)).isOk(), "the open link stays");
            assert.ok((await callEcho(left, right.port, true)).isOk(), "old node calls new node");
            assert.ok((await callEcho(right, left.port)).isOk(), "new node calls old node");
            const closed = new Promise<void>(resolve => leftTls.subscribeChanges(() => resolve()));
            await writeFiles("l", next, next.cert);
            manual.advanceMs(5_000);
            await closed;
            assert.ok((await callEcho(left, right.port, true)).isOk(), "both are on the new key");
        } finally {
            left.dispose();
            right.dispose();
        }
    });

    it("refuses to start without an authority, and an authority file without certificates", async () => {
        const pems = await createPems();
        const files = await writeFiles("n", pems, pems.cert);
        const { certificateFile, keyFile } = files;
        const tls = await createTlsWatcher({ certificateFile, keyFile }, { clock: createManualClock() });
        await assert.rejects(startEcho({ tls }), FailureError);
        fs.writeFileSync(files.authorityFile!, "");
        await assert.rejects(createTlsWatcher(files, { clock: createManualClock() }), FailureError);
    });

    it("keeps the last usable keys while the files do not fit together", async () => {
        const [old, next] = [await createPems(), await createPems()];
        const manual = createManualClock();
        const files = await writeFiles("k", old, old.cert);
        let resolveFailed: (kind: FailureKind) => void;
        const failed = new Promise<FailureKind>(resolve => {
            resolveFailed = resolve;
        });
        const tls = await createTlsWatcher(files, {
            clock: manual,
            reportFailure: failure => resolveFailed(failure.kind),
        });
        fs.writeFileSync(files.keyFile, next.private);
        manual.advanceMs(5_000);
        assert.equal(await failed, FailureKind.InvalidSettings);
        assert.equal(tls.readCurrent().key.toString(), old.private);
        tls.dispose();
    });
});

interface Pems {
    readonly cert: string;
    readonly private: string;
}

async function createPems(): Promise<Pems> {
    return generate([{ name: "commonName", value: `authority-${Math.floor(performance.now() * 1_000)}` }], {
        algorithm: "sha256",
        keyType: "ec",
        extensions: [
            { name: "basicConstraints", cA: true },
            { name: "subjectAltName", altNames: [{ type: 2, value: "redwinglift-node" }] },
        ],
    } as Parameters<typeof generate>[1]);
}

/** Forwards connections; open ones can be made silent for good, while new ones work. */
async function startRelay(targetPort: number) {
    const sockets = new Set<net.Socket>();
    const server = net.createServer(incoming => {
        const outgoing = net.connect(targetPort, "127.0.0.1");
        incoming.pipe(outgoing).pipe(incoming);
        [incoming, outgoing].forEach(socket => {
            sockets.add(socket);
            socket.on("error", () => socket.destroy());
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return {
        port: (server.address() as net.AddressInfo).port,
        silenceOpenConnections: () => sockets.forEach(socket => socket.unpipe()),
        close: () => {
            sockets.forEach(socket => socket.destroy());
            server.close();
        },
    };
}
