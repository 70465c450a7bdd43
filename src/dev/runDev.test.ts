import assert from "node:assert/strict";
import { once } from "node:events";
import net, { type AddressInfo } from "node:net";
import { describe, it } from "node:test";
import { FailureKind } from "../base/failure";
import { FailureError } from "../base/failureError";
import { runDev } from "./runDev";

describe("the embedded default", () => {
    // Guards against: a start that fails leaves some of the nodes and stand-ins running.
    it("fails whole if a port is taken", { timeout: 20_000 }, async () => {
        const holder = net.createServer().listen(0, "127.0.0.1");
        await once(holder, "listening");
        const { port } = holder.address() as AddressInfo;
        const printed: string[] = [];
        await assert.rejects(
            runDev({ operatorPort: port, print: line => void printed.push(line) }),
            error => error instanceof FailureError && error.failure.kind === FailureKind.AddressUnavailable,
        );
        assert.deepEqual(printed, []);
        holder.close();
    });
});
