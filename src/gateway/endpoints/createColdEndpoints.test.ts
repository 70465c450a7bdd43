import assert from "node:assert/strict";
import { beforeEach, describe, it } from "node:test";
import { createManualClock, type ManualClock } from "../../base/createManualClock";
import { createLog } from "../../base/log/createLog";
import { AttemptOutcome } from "../../decisions/gateway/decideNextAction";
import { SENDER_DELAY_MS } from "../../decisions/gateway/createColdSenders";
import type { NodeIdentity } from "../../decisions/relays/news";
import type { GatewayEndpoint, GatewayService } from "../../model/gateway";
import { PLATFORM_CODEC } from "../../../platform/forwardingCodec";
import { makeSettings } from "../_testing/createGatewayHarness";
import { makeEndpoint } from "../_testing/makeEndpoint";
import { applyAnswerHead, applyOutcome } from "../forwarding/applyAttemptOutcome";
import { ConnectionEnd } from "../forwarding/sendAttempt";
import { createGatewayMetrics } from "../process/createGatewayMetrics";
import { type ColdEndpoints, createColdEndpoints } from "./createColdEndpoints";
import { createEndpointDirectory, type EndpointDirectory } from "./createEndpointDirectory";
import type { EndpointRecord } from "./endpointRecord";

const COLD_START_MS = 8_000;
/** Longest that an endpoint counts as cold after a break, with the time within which it may come back. */
const PRESUMED_MS = COLD_START_MS + 10_000;
const LIST_PERIOD_MS = 2_000;
const CHAT: GatewayService = {
    name: "chat",
    connectionsMax: 100,
    engine: undefined,
    fleet: undefined,
    coldStartMs: COLD_START_MS,
    coldPerSecond: 9.9,
};
const SELF: NodeIdentity = {
    node: "node-1",
    life: "life-1",
    failureDomain: "hobart-1",
    address: "127.0.0.1",
    port: 1,
    capacity: 1,
};
const LOG = createLog({ write: () => undefined });
const COLD: Partial<GatewayEndpoint> = { coldForMs: COLD_START_MS, hasColdTime: true };
const WARM: Partial<GatewayEndpoint> = { coldForMs: 0, hasColdTime: true };

describe("cold endpoints", () => {
    let clock: ManualClock;
    let directory: EndpointDirectory;
    let service: GatewayService;
    let reachable: number;
    let coldEndpoints: ColdEndpoints;
    beforeEach(() => {
        clock = createManualClock();
        service = CHAT;
        reachable = 1;
        const settings = makeSettings();
        directory = createEndpointDirectory(settings, clock, LOG);
        coldEndpoints = createColdEndpoints({
            settings,
            readService: name => (name === service.name ? service : undefined),
            clusterTime: { readClusterMs: () => clock.readWallMs(), hasAgreedOffset: () => true },
            countReachable: () => reachable,
            metrics: createGatewayMetrics(),
            clock,
            log: LOG,
        });
    });
    const add = (changes: Partial<GatewayEndpoint>): EndpointRecord => {
        directory.applyEntry({ id: "i-1", endpoint: makeEndpoint("i-1", changes) }, false);
        const record = directory.findEndpoint("i-1");
        assert.ok(record !== undefined);
        return record;
    };
    /** Lets lists of the members arrive for a time. */
    const passLists = (durationMs: number, members: readonly NodeIdentity[] = [SELF]) => {
        for (let passedMs = 0; passedMs < durationMs; passedMs += LIST_PERIOD_MS) {
            coldEndpoints.recordMembers(members);
            clock.advanceMs(LIST_PERIOD_MS);
        }
        coldEndpoints.recordMembers(members);
    };
    /** Sends as much as is allowed; gives how many requests that were. */
    const sendAll = (record: EndpointRecord): number => {
        let sent = 0;
        while (sent < 100 && coldEndpoints.computeWaitMs(record) === 0) {
            coldEndpoints.chargeAttempt(record);
            sent++;
        }
        return sent;
    };
    const readHead = (text: string | undefined, status = 200) =>
        PLATFORM_CODEC.readResponseHead(status, text === undefined ? {} : { "redwinglift-cold-ms": text });
    const fail = (record: EndpointRecord, end: AttemptOutcome, connection?: ConnectionEnd) =>
        applyOutcome(record, { end, connection, reason: "test" } as never, clock.readMonotonicMs());

    it("get nothing from a node without a member list, or whose last one is too old", () => {
        const record = add({ ...COLD, coldForMs: 60_000 });
        assert.equal(sendAll(record), 0);
        passLists(SENDER_DELAY_MS);
        assert.ok(sendAll(record) > 0);
        clock.advanceMs(LIST_PERIOD_MS * 3);
        assert.equal(coldEndpoints.computeWaitMs(record), Number.POSITIVE_INFINITY);
    });

    it("get the share of a window, and then the time until the next", () => {
        passLists(SENDER_DELAY_MS);
        const record = add(COLD);
        assert.equal(sendAll(record), 9);
        assert.equal(coldEndpoints.computeWaitMs(record), 1_000);
        clock.advanceMs(1_000);
        assert.equal(sendAll(record), 9);
    });

    // Guards against: what was sent while the endpoint was warm, or before its restart, is left out of the second.
    it("get nothing more if they turn cold after they got more within the second", () => {
        passLists(SENDER_DELAY_MS);
        const record = add(WARM);
        assert.equal(sendAll(record), 100);
        assert.equal(sendAll(add({ ...COLD, startedAtMs: 5 })), 0);
    });

    it("are not limited once they are warm, and where the service states no rate", () => {
        assert.equal(sendAll(add(WARM)), 100);
        service = { ...CHAT, coldPerSecond: 0 };
        assert.equal(sendAll(add(COLD)), 100);
        service = { ...CHAT, coldPerSecond: undefined };
        assert.equal(sendAll(add(COLD)), 100);
    });

    it("count as their answers say, from then on", () => {
        const record = add(WARM);
        applyAnswerHead(record, readHead("3000"), clock.readMonotonicMs());
        assert.equal(sendAll(record), 0);
        clock.advanceMs(3_001);
        assert.equal(sendAll(record), 100);
        const restarted = add({ ...COLD, startedAtMs: 5 });
        applyAnswerHead(restarted, readHead("0"), clock.readMonotonicMs());
        assert.equal(sendAll(restarted), 100);
    });

    it("are not warm by a malformed header, by none, or by the answer of another endpoint", () => {
        const record = add(COLD);
        for (const text of ["", "-1", "soon", "1e3", undefined]) {
            applyAnswerHead(record, readHead(text), clock.readMonotonicMs());
        }
        applyAnswerHead(record, readHead("0", 421), clock.readMonotonicMs());
        assert.equal(sendAll(record), 0);
    });

    // Guards against: an endpoint that came back under the same id gets the rate of a warm one until its entry arrives.
    for (const [name, end, connection] of [
        ["a connection broke", AttemptOutcome.Lost, ConnectionEnd.Broken],
        ["a connection was refused", AttemptOutcome.NotSent, ConnectionEnd.Refused],
        ["no connection could be opened", AttemptOutcome.NotSent, undefined],
    ] as const) {
        it(`may be cold after ${name}, until an entry or answer says otherwise`, () => {
            const record = add(WARM);
            fail(record, end, connection);
            assert.equal(sendAll(record), 0);
            applyAnswerHead(record, readHead(undefined), clock.readMonotonicMs());
            add(WARM);
            assert.equal(sendAll(record), 0, "an entry that is read again says nothing new");
            applyAnswerHead(record, readHead("0"), clock.readMonotonicMs());
            assert.equal(sendAll(record), 100);
            fail(record, end, connection);
            assert.equal(sendAll(add({ ...WARM, slots: 5 })), 100);
            fail(record, end, connection);
            clock.advanceMs(PRESUMED_MS);
            assert.equal(sendAll(record), 100);
        });
    }

    // Guards against: a whole table that is read again makes an endpoint warm that has said since that it is cold.
    it("stay cold by their own word while an unchanged entry is read again", () => {
        const record = add(WARM);
        applyAnswerHead(record, readHead(String(COLD_START_MS)), clock.readMonotonicMs());
        add(WARM);
        assert.equal(sendAll(record), 0);
    });

    it("are those that have just started, if their entry states no time", () => {
        const record = add({ coldForMs: 0, startedAtMs: clock.readWallMs() - 1_000 });
        assert.equal(sendAll(record), 0);
        clock.advanceMs(COLD_START_MS);
        assert.equal(sendAll(record), 100);
    });

    it("get nothing from a node alone in its domain that hears no other domain", () => {
        const settings = { ...makeSettings(), regions: { "hobart-1": "hobart", "perth-1": "perth" } };
        coldEndpoints = createColdEndpoints({
            settings,
            readService: () => CHAT,
            clusterTime: { readClusterMs: () => clock.readWallMs(), hasAgreedOffset: () => true },
            countReachable: () => reachable,
            metrics: createGatewayMetrics(),
            clock,
            log: LOG,
        });
        const record = add({ ...COLD, coldForMs: 60_000 });
        passLists(SENDER_DELAY_MS);
        assert.equal(sendAll(record), 0);
        reachable = 2;
        passLists(SENDER_DELAY_MS);
        assert.ok(sendAll(record) > 0);
    });

    it("get nothing from a node whose failure domain is not in the settings", () => {
        const domains = { ...makeSettings(), failureDomain: "perth-1" };
        const others = createColdEndpoints({
            settings: domains,
            readService: () => CHAT,
            clusterTime: { readClusterMs: () => 0, hasAgreedOffset: () => false },
            countReachable: () => 2,
            metrics: createGatewayMetrics(),
            clock,
            log: LOG,
        });
        assert.equal(others.computeWaitMs(add(COLD)), Number.POSITIVE_INFINITY);
    });
});
