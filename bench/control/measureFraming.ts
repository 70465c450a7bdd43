/**
 * @module What a call and a connection really cost on the wire, to check the constants that traffic is counted by.
 */
import net from "node:net";
import path from "node:path";
import { createSystemClock } from "../../src/base/createSystemClock";
import { createGrpcTransport } from "../../src/nodes/createGrpcTransport";
import { createTlsWatcher } from "../../src/nodes/createTlsWatcher";
import { NodeCall } from "../../src/nodes/nodeTransport";

const CALLS = 200;
const BODY_BYTES = 300;
const CALL_GAP_MS = 20;
/** IP and TCP headers with time stamps, of a segment and of the acknowledgement it causes at most. */
const SEGMENT_HEADERS_BYTES = 2 * 52;

/** Bytes in both directions together. */
export interface FramingFigures {
    readonly bytesPerCallBesideBodies: number;
    readonly bytesPerConnection: number;
}

/** Sends calls with mutual TLS through a relay that counts. */
export async function measureFraming(keyFolder: string): Promise<FramingFigures> {
    const clock = createSystemClock();
    const tls = await createTlsWatcher(
        {
            certificateFile: path.join(keyFolder, "node.crt"),
            keyFile: path.join(keyFolder, "node.key"),
            authorityFile: path.join(keyFolder, "ca.crt"),
        },
        { clock },
    );
    const [client, server] = await Promise.all(
        [0, 1].map(() => createGrpcTransport({ address: "127.0.0.1", port: 0, clock, tls })),
    );
    const relay = await startCountingRelay(server!.port);
    server!.setCallHandler((_call, body) => Promise.resolve(body));
    const target = { address: "127.0.0.1", port: relay.port };
    const send = () => client!.callNode(target, NodeCall.Exchange, Buffer.alloc(BODY_BYTES), { timeoutMs: 2_000 });
    await send();
    await clock.waitMs(500);
    const opened = relay.countBytes();
    for (let call = 0; call < CALLS; call++) {
        await send();
        await clock.waitMs(CALL_GAP_MS);
    }
    const perCall = (relay.countBytes() - opened) / CALLS - 2 * BODY_BYTES;
    [client, server].forEach(transport => transport!.dispose());
    tls.dispose();
    relay.close();
    return { bytesPerCallBesideBodies: perCall, bytesPerConnection: opened - perCall - 2 * BODY_BYTES };
}

async function startCountingRelay(targetPort: number) {
    let bytes = 0;
    const count = (chunk: Buffer) => {
        bytes += chunk.length + SEGMENT_HEADERS_BYTES;
    };
    const server = net.createServer(incoming => {
        const outgoing = net.connect(targetPort, "127.0.0.1");
        incoming.on("data", count).pipe(outgoing);
        outgoing.on("data", count).pipe(incoming);
        incoming.on("error", () => outgoing.destroy());
        outgoing.on("error", () => incoming.destroy());
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return {
        port: (server.address() as net.AddressInfo).port,
        countBytes: () => bytes,
        close: () => server.close(),
    };
}
