import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { once } from "node:events";
import net, { type AddressInfo } from "node:net";
import { describe, it } from "node:test";
import { ExitCode } from "../cli/exitCode";

describe("the stand-ins' program", () => {
    // Guards against: stand-ins that listen in part look like a platform with faults.
    it("ends with one line and an exit code if a port is taken", { timeout: 20_000 }, async () => {
        const holder = net.createServer().listen(0, "127.0.0.1");
        await once(holder, "listening");
        const { port } = holder.address() as AddressInfo;
        const words = ["--import", "tsx", "src/standins/main.ts", "--model-runners", `0,${port}`];
        const child = spawn(process.execPath, words, { stdio: ["ignore", "ignore", "pipe"] });
        let written = "";
        child.stderr.on("data", chunk => (written += String(chunk)));
        const [exitCode] = await once(child, "close");
        holder.close();
        assert.equal(exitCode, ExitCode.AddressUnavailable);
        assert.match(written, /^The stand-ins can't start: .*EADDRINUSE.*\n$/);
    });
});
