// Case 3: a runner spoils a stream, and the machine stands still for seconds. See claim.txt.
import { createClient } from "./client.mjs";
import { addressOf, createFleet, pause } from "./fleet.mjs";
import { BROKEN, createRecord } from "./record.mjs";
import { startRunner } from "./runner.mjs";
import { startStore } from "./store.mjs";
import { startStreamRunner } from "./streamRunner.mjs";

const HAS_TROUBLE = process.env.TROUBLE !== "0";
const LENGTH_MS = 25_000;
const GARBLE_FROM_MS = 4_000;
const GARBLE_MS = 5_000;
/** Of 6 runners, 3 spoil one answer in 20: share 0.5, x 0.05. */
const GARBLING_RUNNERS = 3;
const SPOILT_EACH = 20;
const STREAM_PERIOD_MS = 250;
const POST_CLIENTS = 20;
const POST_PERIOD_MS = 400;
const POST_TIMEOUT_MS = 1_500;
const POST_DEADLINE_MS = 3_000;
/** Clients leave a stream after this time without an event: four times the objective. */
const PATIENCE_MS = 4_800;

const record = createRecord(import.meta.dirname);
const store = await startStore(addressOf(1));
const fleet = createFleet({ storeAddress: store.address });
let isGarbling = false;
let exitCode = 2;

const register = (id, service, address, slots) =>
    store.put("servers", id, {
        service,
        address,
        zone: "z-1",
        version: "v1",
        slots,
        state: "ready",
        coldLeftMs: 0,
        sequence: 1,
        born: Date.now(),
    });

try {
    let spoilable = 0;
    for (let index = 0; index < 6; index++) {
        const id = `m-${index}`;
        const runner = await startStreamRunner({
            address: addressOf(10 + index),
            id,
            slots: 64,
            events: 12,
            gapMs: () => 100,
            dropsOnClose: true,
            spoils: () => isGarbling && index < GARBLING_RUNNERS && spoilable++ % SPOILT_EACH === 0,
            record: ({ what, attempt, event }) => record.add(`runner ${id}: ${what} of ${attempt}, event ${event}`),
        });
        register(id, "llm", runner.address, 64);
    }
    for (let index = 0; index < 3; index++) {
        const id = `a-${index}`;
        const runner = await startRunner({
            address: addressOf(20 + index),
            id,
            slots: 6,
            queue: 24,
            workMs: () => 43,
            record: ({ what, attempt }) => record.add(`runner ${id}: ${what} ${attempt}`),
        });
        register(id, "app", runner.address, 6);
    }
    const route = { host: "news.example", anonymous: false, maxAttempts: 1 };
    store.put("op", "config", {
        version: 1,
        routes: [
            {
                ...route,
                name: "r-1",
                pathPrefix: "/digest/",
                routeKind: "streaming",
                timeoutMs: 15_000,
                objectiveMs: 1_200,
                priority: 1,
                service: "llm",
                sticky: true,
                resumable: false,
                gapTargetMs: 400,
            },
            {
                ...route,
                name: "r-2",
                pathPrefix: "/ack/",
                routeKind: "non_idempotent",
                timeoutMs: POST_TIMEOUT_MS,
                objectiveMs: 300,
                priority: 2,
                service: "app",
            },
        ],
        services: [
            { name: "llm", healthPath: "/healthz", maxConns: 370, protocol: "h1", tls: false, engine: { slots: 64 } },
            { name: "app", healthPath: "/healthz", maxConns: 110, protocol: "h1", tls: false },
        ],
        limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
        tenants: [{ name: "t-1", apiKeys: ["key-1"] }],
    });
    const machine = fleet.start(100);
    await fleet.whenReady(machine);
    await pause(4_500);

    const beganAt = performance.now();
    const isOver = () => performance.now() - beganAt > LENGTH_MS;
    const posts = [];
    const runPosts = async number => {
        let client = createClient(machine, "news.example", "key-1");
        await pause((POST_PERIOD_MS / POST_CLIENTS) * number);
        for (let count = 0; !isOver(); count++) {
            const attempt = `p-${number}-${count}`;
            const sentAtMs = performance.now();
            record.add(`client ${number}: sends ${attempt}`);
            const sent = client.send({
                path: "/ack/1",
                attempt,
                deadlineMs: POST_DEADLINE_MS,
                body: Buffer.alloc(600),
            });
            const end = await Promise.race([sent, pause(POST_DEADLINE_MS).then(() => undefined)]);
            const tookMs = performance.now() - sentAtMs;
            posts.push({ attempt, tookMs });
            record.add(
                `client ${number}: ${attempt} ends with ${end?.status ?? "no answer"} after ${tookMs.toFixed(0)} ms`,
            );
            if (end?.status === undefined) {
                client.close();
                client = createClient(machine, "news.example", "key-1");
            }
            await pause(POST_PERIOD_MS);
        }
        client.close();
    };
    const runStream = async attempt => {
        const client = createClient(machine, "news.example", "key-1");
        record.add(`client: sends ${attempt}`);
        const headers = {
            "Redwinglift-Model": "m",
            "Redwinglift-Token-Counts": "600,48",
            "Redwinglift-Prefix-Hash": `5c1e07a2:120,91bd3f06:80,${attempt.replace("-", "")}:400`,
        };
        const sent = client.send({ path: "/digest/1", attempt, deadlineMs: 15_000, body: Buffer.alloc(830), headers });
        const end = await Promise.race([sent, pause(PATIENCE_MS).then(() => undefined)]);
        record.add(`client: ${attempt} ends with ${end?.status ?? "no answer"}`);
        client.close();
    };
    const all = Array.from({ length: POST_CLIENTS }, (_, number) => runPosts(number));
    for (let number = 0; !isOver(); number++) {
        const nowMs = performance.now() - beganAt;
        isGarbling = HAS_TROUBLE && nowMs >= GARBLE_FROM_MS && nowMs < GARBLE_FROM_MS + GARBLE_MS;
        all.push(runStream(`s-${number}`));
        await pause(STREAM_PERIOD_MS);
    }
    await Promise.all(all);
    const longer = posts.filter(({ tookMs }) => tookMs > POST_TIMEOUT_MS);
    const late = longer.filter(({ tookMs }) => tookMs > POST_TIMEOUT_MS + 500);
    record.add(
        `posts: ${posts.length}; longer than timeoutMs: ${longer.length}; no answer 0.5 s after it: ${late.length}`,
    );
    const isBroken = late.length >= 8 && late.length > longer.length / 4;
    exitCode = isBroken ? BROKEN : posts.length > 0 ? 0 : 2;
    record.add(exitCode === BROKEN ? "CONFIG is broken" : exitCode === 0 ? "the rule held" : "the case could not run");
} catch (error) {
    record.add(`the case could not run: ${error.stack}`);
} finally {
    fleet.close();
    record.write();
    process.exit(exitCode);
}
