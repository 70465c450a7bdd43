import assert from "node:assert/strict";
import dgram from "node:dgram";
import { once } from "node:events";
import { afterEach, describe, it } from "node:test";
import { waitUntil } from "../../adapters/contracts/waitUntil";
import { createLog } from "../../base/log/createLog";
import { type DatagramPort, openDatagramPort } from "./openDatagramPort";

const ADDRESS = "127.0.0.1";

/** Binds a socket to a free port, as a former process that still holds it. */
async function openHolder(): Promise<dgram.Socket> {
    const holder = dgram.createSocket("udp4").bind(0, ADDRESS);
    await once(holder, "listening");
    return holder;
}

describe("a datagram port", () => {
    let opened: DatagramPort | undefined;
    const lines: string[] = [];
    const received: string[] = [];
    const open = (port: number) => {
        opened = openDatagramPort({
            address: ADDRESS,
            port,
            handleDatagram: bytes => void received.push(String(bytes)),
            log: createLog({ write: line => lines.push(line) }),
        });
        return opened;
    };
    afterEach(() => {
        opened?.dispose();
        lines.length = 0;
        received.length = 0;
    });

    // Guards against: a node whose datagram port is taken when it starts never hears the other nodes again.
    it("is opened once a former process lets it go, and carries datagrams both ways", async () => {
        const holder = await openHolder();
        const { port } = holder.address();
        const taken = open(port);
        await waitUntil(() => taken.readState().failedAttempts >= 2, "it is tried again");
        taken.send(Buffer.from("dropped"), { address: ADDRESS, port });
        assert.equal(taken.isDeaf(), true);
        holder.close();
        await waitUntil(() => taken.readState().isOpen, "it is open");
        assert.equal(taken.isDeaf(), false);
        const peer = await openHolder();
        const answered = once(peer, "message");
        peer.send("hello", port, ADDRESS);
        await waitUntil(() => received.length > 0, "a datagram arrived");
        taken.send(Buffer.from("back"), { address: ADDRESS, port: peer.address().port });
        assert.equal(String((await answered)[0]), "back");
        assert.deepEqual(received, ["hello"]);
        peer.close();
        assert.equal(lines.filter(line => line.includes("can't be opened")).length, 1);
    });

    it("is not tried again once it is disposed of", async () => {
        const holder = await openHolder();
        const { port } = holder.address();
        const taken = open(port);
        await waitUntil(() => taken.readState().failedAttempts === 1, "it has failed");
        taken.dispose();
        holder.close();
        await once(holder, "close");
        const next = dgram.createSocket("udp4").bind(port, ADDRESS);
        await once(next, "listening");
        await new Promise(resolve => setTimeout(resolve, 300));
        assert.deepEqual(taken.readState(), { isOpen: false, failedAttempts: 1 });
        next.close();
    });
});
