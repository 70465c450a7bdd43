/**
 * @module Simulates the quarantines of a small fleet on simulated time: endpoints that crash on a prompt part, other
 * crashes and resets beside, and news between the nodes that is late, lost and repeated.
 */
import { createManualClock } from "../../base/createManualClock";
import { createRandom } from "../../base/createRandom";
import { createLog } from "../../base/log/createLog";
import { AttemptOutcome } from "../../decisions/gateway/decideNextAction";
import { mergeSuspects, sumClearances } from "../../decisions/relays/mergeSuspects";
import type { SuspectParts } from "../../decisions/relays/news";
import { createPartQuarantine, type FollowedAttempt, type PartQuarantine } from "../quarantine/createPartQuarantine";
import { createEndpointRecord, type EndpointRecord } from "../endpoints/endpointRecord";
import type { FollowedRequest } from "../quarantine/buildFollowedRequest";
import { ConnectionEnd } from "../forwarding/sendAttempt";
import { makeEndpoint } from "./makeEndpoint";

/** What is simulated. */
export interface QuarantineSimulation {
    readonly seed: number;
    readonly nodes: number;
    readonly endpoints: number;
    readonly requestsPerSecond: number;
    readonly durationMs: number;
    /** Share of requests with the deadly part from `deadlyFromMs` on; before it, the part is harmless. */
    readonly deadlyShare: number;
    readonly deadlyFromMs: number;
    /** Share of requests with that part before. */
    readonly harmlessShare: number;
    /** Crashes of other causes, and resets of connections, per second. */
    readonly crashesPerSecond: number;
    readonly resetsPerSecond: number;
    /** Times at which a third of the endpoints crash at once; default: none. */
    readonly wavesAtMs?: readonly number[];
    /** Share of messages that are lost. */
    readonly lossShare: number;
    /** Executions that the route permits; default: 2. */
    readonly attemptsMax?: number;
    /** Nodes that lose their state, per second. */
    readonly restartsPerSecond: number;
    /** Gets the log lines of the nodes; default: none are kept. */
    readonly write?: (line: string) => void;
}

/** What was seen. */
export interface QuarantineResult {
    /** Crashes by the deadly part. */
    readonly deadlyCrashes: number;
    /** Requests with it that reached endpoints later than `CONTACT_MS` after the fifth crash. */
    readonly lateDeadly: number;
    readonly sound: number;
    /** Requests without the part that were refused, and those of them with none but popular parts. */
    readonly refusedSound: number;
    readonly refusedPopular: number;
    /** Requests without the part that were not sent again because they may have crashed an endpoint. */
    readonly notRepeatedSound: number;
    /** Requests with the part that were refused or answered in the last quarter. */
    readonly refusedAtEnd: number;
    readonly answeredAtEnd: number;
}

const CONTACT_MS = 4_000;
const STEP_MS = 10;
const DOWN_MS = 3_000;
const NEWS_EVERY_MS = 250;
const POPULAR_TOPICS = 6;
const RARE_TOPICS = 200;

interface Attempt {
    readonly node: Node;
    readonly endpoint: Endpoint;
    readonly request: FollowedRequest;
    readonly sends: number;
    readonly followed: FollowedAttempt;
    readonly beginsAtMs: number;
    readonly endsAtMs: number;
    hasBegun: boolean;
}
interface Endpoint {
    readonly id: string;
    startedAtMs: number;
    downUntilMs: number;
}
interface Node {
    quarantine: PartQuarantine;
    readonly records: Map<string, EndpointRecord>;
}

/**
 * Runs a simulation.
 *
 * @param options - What is simulated
 * @returns What was seen
 * @example
 * (await simulateQuarantine({ ...CALM, seed: 1 })).lateDeadly;
 */
export async function simulateQuarantine(options: QuarantineSimulation): Promise<QuarantineResult> {
    const clock = createManualClock();
    const random = createRandom(options.seed);
    const { attemptsMax = 2 } = options;
    const log = createLog({ write: options.write ?? (() => undefined) });
    const seen = {
        deadlyCrashes: 0,
        lateDeadly: 0,
        sound: 0,
        refusedSound: 0,
        refusedPopular: 0,
        notRepeatedSound: 0,
        refusedAtEnd: 0,
        answeredAtEnd: 0,
    };
    const beganAtMs = clock.readMonotonicMs();
    const readMs = () => clock.readMonotonicMs() - beganAtMs;
    let fifthCrashMs = Number.POSITIVE_INFINITY;
    const endpoints: Endpoint[] = Array.from({ length: options.endpoints }, (_, index) => ({
        id: `i-${index}`,
        startedAtMs: 1,
        downUntilMs: 0,
    }));
    const attempts = new Set<Attempt>();
    let requests = 0;
    const messages: { readonly atMs: number; readonly deliver: () => void }[] = [];
    const reports = new Map<number, SuspectParts>();
    const drawChance = (perSecond: number) => random.drawFraction() < (perSecond * STEP_MS) / 1_000;
    const pick = <T>(items: readonly T[]): T => items[random.drawInteger(0, items.length - 1)] as T;
    const createNode = (index: number, records: Map<string, EndpointRecord>): PartQuarantine =>
        createPartQuarantine({
            nodeName: `node-${index}`,
            directory: { findEndpoint: id => records.get(id) },
            readNodeCount: () => options.nodes,
            clock,
            metrics: { countPromptRefusal: () => undefined, setPromptParts: () => undefined },
            log: log.withFields({ node: index }),
            isRefusing: ({ port }) => Promise.resolve((endpoints[port]?.downUntilMs ?? 0) > readMs()),
        });
    const updateRecord = (records: Map<string, EndpointRecord>, { id, startedAtMs }: Endpoint, port: number) => {
        const endpoint = makeEndpoint(id, { startedAtMs, target: { address: "127.0.0.1", port } });
        records.set(id, createEndpointRecord(endpoint, { roundTripMs: 0, penaltyMs: 0 }, clock));
    };
    const nodes: Node[] = Array.from({ length: options.nodes }, (_, index) => {
        const records = new Map<string, EndpointRecord>();
        endpoints.forEach((endpoint, port) => updateRecord(records, endpoint, port));
        return { records, quarantine: createNode(index, records) };
    });

    const send = (node: Node, request: FollowedRequest, sends: number) => {
        const { parts } = request;
        const isDeadly = parts.includes("deadly");
        const history = { isRepeat: sends > 1, hasSpare: Math.max(1, sends - 1) + 1 < attemptsMax };
        const admission = node.quarantine.admitAttempt(request, history);
        const isAtEnd = readMs() > options.durationMs * 0.75;
        if (admission.retryAfterMs !== undefined || (sends > 1 && !admission.allowsRepeat)) {
            seen.refusedAtEnd += isDeadly && isAtEnd ? 1 : 0;
            seen.refusedSound += isDeadly ? 0 : 1;
            seen.refusedPopular += isDeadly || parts.some(part => part.startsWith("rare")) ? 0 : 1;
            return;
        }
        const up = endpoints.filter(({ downUntilMs }) => downUntilMs <= readMs());
        if (up.length === 0) {
            return;
        }
        const endpoint = pick(up);
        const record = node.records.get(endpoint.id);
        if (record === undefined) {
            return;
        }
        seen.lateDeadly += isDeadly && readMs() > fifthCrashMs + CONTACT_MS ? 1 : 0;
        const beginsAtMs = readMs() + random.drawInteger(50, 600);
        attempts.add({
            node,
            endpoint,
            request,
            sends,
            followed: node.quarantine.beginAttempt(record, request, history),
            beginsAtMs,
            endsAtMs: beginsAtMs + random.drawInteger(100, 2_000),
            hasBegun: false,
        });
    };
    const breakAttempts = (isBroken: (attempt: Attempt) => boolean) => {
        for (const attempt of [...attempts].filter(isBroken)) {
            attempts.delete(attempt);
            const end = attempt.hasBegun ? AttemptOutcome.Broken : AttemptOutcome.Lost;
            const result = { end, reason: "reset", connection: ConnectionEnd.Broken };
            void attempt.followed.finish(result).then(mayHaveCrashed => {
                const isSound = !attempt.request.parts.includes("deadly");
                const hasAttempts = attempt.sends < attemptsMax;
                seen.notRepeatedSound += isSound && hasAttempts && mayHaveCrashed ? 1 : 0;
                if (!mayHaveCrashed && hasAttempts) {
                    send(attempt.node, attempt.request, attempt.sends + 1);
                }
            });
        }
    };
    const crash = (endpoint: Endpoint) => {
        endpoint.downUntilMs = readMs() + DOWN_MS;
        breakAttempts(attempt => attempt.endpoint === endpoint);
    };
    const advanceAttempts = () => {
        for (const attempt of attempts) {
            if (!attempts.has(attempt)) {
                continue;
            }
            if (!attempt.hasBegun && attempt.beginsAtMs <= readMs()) {
                if (attempt.request.parts.includes("deadly") && readMs() >= options.deadlyFromMs) {
                    seen.deadlyCrashes++;
                    fifthCrashMs = seen.deadlyCrashes === 5 ? readMs() : fifthCrashMs;
                    crash(attempt.endpoint);
                    continue;
                }
                attempt.hasBegun = true;
                attempt.followed.recordFirstPart();
                const isAtEnd = readMs() > options.durationMs * 0.75;
                seen.answeredAtEnd += attempt.request.parts.includes("deadly") && isAtEnd ? 1 : 0;
            }
            if (attempt.hasBegun && attempt.endsAtMs <= readMs()) {
                attempts.delete(attempt);
                void attempt.followed.finish({ end: AttemptOutcome.Relayed, reason: "complete" });
            }
        }
    };
    const exchangeNews = () => {
        nodes.forEach((node, index) => {
            const report = mergeSuspects([node.quarantine.readEvidence()], sumClearances);
            sendMessage(() => reports.set(index, report));
            sendMessage(() => node.quarantine.mergeEvidence(mergeSuspects([...reports.values()], sumClearances)));
        });
    };
    const sendMessage = (deliver: () => void) => {
        for (let copy = 0; copy < 2; copy++) {
            if (random.drawFraction() >= options.lossShare && (copy === 0 || random.drawFraction() < 0.1)) {
                messages.push({ atMs: readMs() + random.drawInteger(20, 400), deliver });
            }
        }
    };
    const makeParts = (): readonly string[] => {
        const share = readMs() >= options.deadlyFromMs ? options.deadlyShare : options.harmlessShare;
        const isRare = random.drawFraction() < 0.15;
        const topic = isRare
            ? `rare-${random.drawInteger(1, RARE_TOPICS)}`
            : `topic-${random.drawInteger(1, POPULAR_TOPICS)}`;
        return random.drawFraction() < share ? ["base", topic, "deadly"] : ["base", topic];
    };

    while (readMs() < options.durationMs) {
        clock.advanceMs(STEP_MS);
        await new Promise(resolve => setImmediate(resolve));
        endpoints.forEach((endpoint, port) => {
            if (endpoint.downUntilMs > 0 && endpoint.downUntilMs <= readMs()) {
                endpoint.downUntilMs = 0;
                endpoint.startedAtMs = readMs();
                nodes.forEach(node => updateRecord(node.records, endpoint, port));
            }
        });
        for (const message of messages.filter(({ atMs }) => atMs <= readMs())) {
            messages.splice(messages.indexOf(message), 1);
            message.deliver();
        }
        if (readMs() % NEWS_EVERY_MS === 0) {
            exchangeNews();
        }
        advanceAttempts();
        if (drawChance(options.crashesPerSecond)) {
            crash(pick(endpoints));
        }
        if (options.wavesAtMs?.includes(readMs()) === true) {
            endpoints.slice(0, Math.ceil(endpoints.length / 3)).forEach(crash);
        }
        if (drawChance(options.resetsPerSecond)) {
            const [node, endpoint] = [pick(nodes), pick(endpoints)];
            breakAttempts(attempt => attempt.node === node && attempt.endpoint === endpoint);
        }
        if (drawChance(options.restartsPerSecond)) {
            const index = random.drawInteger(0, nodes.length - 1);
            const node = nodes[index];
            if (node !== undefined) {
                [...attempts].filter(attempt => attempt.node === node).forEach(attempt => attempts.delete(attempt));
                node.quarantine = createNode(index, node.records);
                node.quarantine.mergeEvidence(mergeSuspects([...reports.values()], sumClearances));
            }
        }
        if (drawChance(options.requestsPerSecond)) {
            const parts = makeParts();
            seen.sound += parts.includes("deadly") ? 0 : 1;
            const identity = `request:${requests++}`;
            send(pick(nodes), { parts, readIdentity: () => identity }, 1);
        }
    }
    return seen;
}
