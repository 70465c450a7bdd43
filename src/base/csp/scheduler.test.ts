import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { createChannel, put, startTask, take } from "./index";

const TASK_CHAIN_LENGTH = 40;
const BUSY_STEPS = 20_000;

describe("the scheduler of task steps", () => {
    it("runs a chain of many tasks within a few turns of the event loop", async () => {
        const first = createChannel<number>();
        let last = first;
        for (let hop = 0; hop < TASK_CHAIN_LENGTH; hop++) {
            const from = last;
            const to = createChannel<number>();
            startTask(`hop-${hop}`, function* () {
                yield* put(to, ((yield* take(from)) ?? 0) + 1);
            });
            last = to;
        }
        let turns = 0;
        let isDone = false;
        const countTurn = () => {
            turns++;
            if (!isDone) {
                setImmediate(countTurn);
            }
        };
        setImmediate(countTurn);
        startTask("sender", function* () {
            yield* put(first, 0);
        });
        await startTask("receiver", function* () {
            assert.equal(yield* take(last), TASK_CHAIN_LENGTH);
        }).ended;
        isDone = true;
        assert.ok(turns <= 3, `${turns} turns`);
    });

    it("lets timers fire while tasks run without a pause", async () => {
        const pingPong = createChannel<number>();
        let turns = 0;
        const counter = setInterval(() => turns++, 1);
        startTask("sender", function* () {
            for (let step = 0; step < BUSY_STEPS; step++) {
                yield* put(pingPong, step);
            }
        });
        await startTask("receiver", function* () {
            for (let step = 0; step < BUSY_STEPS; step++) {
                yield* take(pingPong);
            }
        }).ended;
        clearInterval(counter);
        assert.ok(turns > 0);
    });
});
