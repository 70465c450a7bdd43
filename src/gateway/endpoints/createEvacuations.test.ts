import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { createManualClock } from "../../base/createManualClock";
import { createLog } from "../../base/log/createLog";
import { makeSettings } from "../_testing/createGatewayHarness";
import { makeEndpoint } from "../_testing/makeEndpoint";
import { createGatewayMetrics } from "../process/createGatewayMetrics";
import { createEndpointDirectory } from "./createEndpointDirectory";
import { createEvacuations, type Evacuations } from "./createEvacuations";
import { computeColdMs, type EndpointRecord } from "./endpointRecord";

const COLD_START_MS = 8_000;
const log = createLog({ write: () => undefined });

describe("evacuations", () => {
    let cancelled: string[];
    let evacuations: Evacuations;
    beforeEach(() => {
        cancelled = [];
        const handleCancelled = (domain: string) => void cancelled.push(domain);
        evacuations = createEvacuations({ handleCancelled, metrics: createGatewayMetrics(), log });
    });
    const order = (failureDomain: string, isEvacuated = true) => ({ failureDomain, isEvacuated });

    it("begin and are cancelled by changes", () => {
        evacuations.applyChanges([order("a"), order("b"), order("a")], false);
        assert.deepEqual([...evacuations.readDomains()], ["a", "b"]);
        evacuations.applyChanges([order("a", false), order("c", false)], false);
        assert.deepEqual([...evacuations.readDomains()], ["b"]);
        assert.deepEqual(cancelled, ["a"]);
    });

    // Guards against: an order that was deleted while the node couldn't follow the changes stays for good.
    it("are exactly those of a whole table", () => {
        evacuations.applyChanges([order("a"), order("b")], true);
        evacuations.applyChanges([order("b"), order("c")], true);
        assert.deepEqual([...evacuations.readDomains()], ["b", "c"]);
        assert.deepEqual(cancelled, ["a"]);
    });

    // Guards against: a change of another row of the operator's table ends the evacuations.
    it("stay with changes of other rows", () => {
        evacuations.applyChanges([order("a")], true);
        evacuations.applyChanges([], false);
        assert.deepEqual([...evacuations.readDomains()], ["a"]);
    });
});

describe("the endpoints of a failure domain that is no longer evacuated", () => {
    const clock = createManualClock();
    const readRecord = (): EndpointRecord => {
        const record = directory.findEndpoint("i-1");
        assert.ok(record !== undefined);
        return record;
    };
    let directory = createEndpointDirectory(makeSettings(), clock, log);
    const warm = makeEndpoint("i-1", { coldForMs: 0, hasColdTime: true });
    beforeEach(() => {
        directory = createEndpointDirectory(makeSettings(), clock, log);
        directory.replaceAll([{ id: "i-1", endpoint: warm }], false);
        directory.recordReturn("hobart-1", () => COLD_START_MS);
    });

    // Guards against: an entry from before the evacuation, read again, makes them count as warm.
    it("count as cold, also if the same entry is read again", () => {
        directory.replaceAll([{ id: "i-1", endpoint: { ...warm } }], false);
        assert.equal(computeColdMs(readRecord(), clock.readMonotonicMs()), COLD_START_MS);
    });

    it("count as their next entry says, if that states a cold time", () => {
        directory.applyEntry({ id: "i-1", endpoint: { ...warm, hasColdTime: false, slots: 5 } }, false);
        assert.equal(computeColdMs(readRecord(), clock.readMonotonicMs()), COLD_START_MS);
        directory.applyEntry({ id: "i-1", endpoint: { ...warm, slots: 6 } }, false);
        assert.equal(computeColdMs(readRecord(), clock.readMonotonicMs()), 0);
    });

    it("stay as they are in other failure domains, and in services whose endpoints are never cold", () => {
        directory.applyEntry({ id: "i-2", endpoint: makeEndpoint("i-2", { service: "plain" }) }, false);
        directory.applyEntry({ id: "i-3", endpoint: makeEndpoint("i-3", { failureDomain: "perth-1" }) }, false);
        directory.recordReturn("hobart-1", service => (service === "chat" ? COLD_START_MS : 0));
        for (const id of ["i-2", "i-3"]) {
            const record = directory.findEndpoint(id);
            assert.ok(record !== undefined);
            assert.equal(computeColdMs(record, clock.readMonotonicMs()), 0);
        }
    });
});
