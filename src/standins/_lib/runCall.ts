/**
 * @module Runs a call to a stand-in through its fault switches.
 */
import type { Clock } from "../../base/clock";
import { type FaultFacts, FaultKind } from "../fault";
import type { FaultGate } from "./createFaultGate";
import { sendReply } from "./sendReply";
import type { StandinCall, StandinReply, StandinRoute } from "./standinCall";

/** What running a call needs. */
export interface RunCallOptions {
    readonly gate: FaultGate;
    readonly clock: Clock;
    readonly routes: readonly StandinRoute[];
    readonly readFacts: (route: string) => FaultFacts;
}

const lastReplies = new WeakMap<FaultGate, { readonly call: StandinCall; readonly reply: StandinReply }>();

/**
 * Runs a call: faults before the effect, the route's handler, faults after the effect, the reply.
 *
 * @param call - The call
 * @param options - Routes and faults
 * @returns A promise that resolves once the call has ended
 * @example
 * await runCall(call, { gate, clock, routes, readFacts });
 */
export async function runCall(call: StandinCall, options: RunCallOptions): Promise<void> {
    const { gate, clock } = options;
    const facts = options.readFacts(call.path);
    const slow = gate.strike(FaultKind.Slow, facts);
    if (slow !== undefined) {
        await clock.waitMs(slow.delayMs ?? 0);
    }
    if (gate.strike(FaultKind.AnswerLostBeforeEffect, facts) !== undefined) {
        call.request.socket.destroy();
        return;
    }
    if (gate.strike(FaultKind.Unavailable, facts) !== undefined) {
        sendReply(call, { status: 503, body: { effect: "none" }, headers: { "redwinglift-execution": "not_run" } });
        return;
    }
    const route = findRoute(options.routes, call);
    if (route === undefined) {
        sendReply(call, { status: 404, body: { effect: "none" } });
        return;
    }
    const reply = await route.handle(call);
    if (reply !== undefined && !call.isSilent()) {
        await sendThroughFaults(call, reply, facts, options);
    }
}

function findRoute(routes: readonly StandinRoute[], call: StandinCall): StandinRoute | undefined {
    return routes.find(
        route => (route.method === undefined || route.method === call.method) && call.path.startsWith(route.path),
    );
}

async function sendThroughFaults(
    call: StandinCall,
    reply: StandinReply,
    facts: FaultFacts,
    { gate, clock }: RunCallOptions,
): Promise<void> {
    const late = gate.strike(FaultKind.AnswerLate, facts);
    if (late !== undefined) {
        await clock.waitMs(late.delayMs ?? 0);
    }
    if (gate.strike(FaultKind.AnswerLostAfterEffect, facts) !== undefined) {
        call.request.socket.destroy();
        return;
    }
    if (gate.strike(FaultKind.AnswerCut, facts) !== undefined) {
        sendHalf(call, reply);
        return;
    }
    const previous = lastReplies.get(gate);
    lastReplies.set(gate, { call, reply });
    if (previous !== undefined && gate.strike(FaultKind.AnswerCrossed, facts) !== undefined) {
        sendReply({ ...previous.call, response: call.response }, previous.reply);
        return;
    }
    const doubled = gate.strike(FaultKind.AnswerDoubled, facts);
    if (doubled !== undefined) {
        sendDoubled(call, reply, () => clock.waitMs(doubled.delayMs ?? 0));
        return;
    }
    sendReply(call, reply);
}

function sendHalf(call: StandinCall, reply: StandinReply): void {
    const body = JSON.stringify(reply.body ?? {});
    call.response.writeHead(reply.status, { "content-length": body.length + 1 });
    call.response.write(body.slice(0, Math.ceil(body.length / 2)), () => call.request.socket.destroy());
}

function sendDoubled(call: StandinCall, reply: StandinReply, waitBeforeSecond: () => Promise<void>): void {
    const { socket } = call.request;
    const sent: Buffer[] = [];
    const write = socket.write.bind(socket) as (...parts: unknown[]) => boolean;
    const recordWrite = (...parts: unknown[]): boolean => {
        sent.push(
            Buffer.from(parts[0] as string, typeof parts[1] === "string" ? (parts[1] as BufferEncoding) : "utf8"),
        );
        return write(...parts);
    };
    Object.assign(socket, { write: recordWrite });
    call.response.once("finish", () => {
        Object.assign(socket, { write });
        void waitBeforeSecond().then(() => write(Buffer.concat(sent)));
    });
    sendReply(call, reply);
}
