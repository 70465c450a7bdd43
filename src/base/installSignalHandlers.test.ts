import assert from "node:assert/strict";
import { afterEach, describe, it } from "node:test";
import { installSignalHandlers } from "./installSignalHandlers";
import { ControlSignal, StopSignal } from "./processSignals";

const SIGNALS = [...Object.values(StopSignal), ...Object.values(ControlSignal)];
const send = (signal: NodeJS.Signals) => void process.emit(signal, signal);
const runMicrotasks = () => new Promise(resolve => setImmediate(resolve));

// Guards against: a signal that comes before something takes it is lost.
describe("signals of a process", () => {
    afterEach(() => SIGNALS.forEach(signal => process.removeAllListeners(signal)));

    it("are all handled, and nothing else is", () => {
        installSignalHandlers();
        const names = ["SIGTERM", "SIGINT", "SIGHUP", "SIGUSR2", "SIGQUIT", "SIGUSR1", "SIGPIPE"] as const;
        assert.deepEqual(
            names.filter(name => process.listenerCount(name) > 0),
            ["SIGTERM", "SIGINT", "SIGHUP", "SIGUSR2"],
        );
    });

    it("to stop are taken once each in their order, also those that came before", async () => {
        const signals = installSignalHandlers();
        send("SIGINT");
        send("SIGTERM");
        assert.equal(await signals.takeStop(), StopSignal.Interrupt);
        assert.equal(await signals.takeStop(), StopSignal.Terminate);
        const [third, fourth] = [signals.takeStop(), signals.takeStop()];
        send("SIGTERM");
        send("SIGINT");
        assert.deepEqual(await Promise.all([third, fourth]), [StopSignal.Terminate, StopSignal.Interrupt]);
    });

    it("that came before their handler run it once, after the code that sets it", async () => {
        const signals = installSignalHandlers();
        send("SIGHUP");
        send("SIGHUP");
        const handled: string[] = [];
        signals.setHandler(ControlSignal.HangUp, () => handled.push("SIGHUP"));
        signals.setHandler(ControlSignal.Dump, () => handled.push("SIGUSR2"));
        assert.deepEqual(handled, []);
        await runMicrotasks();
        assert.deepEqual(handled, ["SIGHUP"]);
        send("SIGUSR2");
        send("SIGHUP");
        assert.deepEqual(handled, ["SIGHUP", "SIGUSR2", "SIGHUP"]);
    });
});
