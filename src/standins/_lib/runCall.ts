/**
 * @module Runs a call to a stand-in through its fault switches.
 */
import type { Clock } from "../../base/clock";
import { type FaultFacts, FaultKind } from "../fault";
import type { FaultGate } from "./createFaultGate";
import { sendDoubledReply } from "./sendDoubledReply";
import { sendHalfReply } from "./sendHalfReply";
import { sendReply } from "./sendReply";
import type { StandinCall, StandinReply, StandinRoute } from "./standinCall";
import { HttpStatus } from "../../adapters/_lib/httpStatus";

/** What running a call needs. */
export interface RunCallOptions {
    readonly gate: FaultGate;
    readonly clock: Clock;
    readonly routes: readonly StandinRoute[];
    readonly readFacts: (route: string) => FaultFacts;
    /** The last reply of the stand-in, which `AnswerCrossed` sends again; replaced by each reply. */
    readonly replies: { last?: { readonly call: StandinCall; readonly reply: StandinReply } };
}

/**
 * Runs a call: faults before the effect, the route's handler, faults after the effect, the reply.
 *
 * @param call - The call
 * @param options - Routes and faults
 * @returns A promise that resolves once the call has ended
 * @example
 * await runCall(call, { gate, clock, routes, readFacts, replies: {} });
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
        sendReply(call, {
            status: HttpStatus.ServiceUnavailable,
            body: { effect: "none" },
            headers: { "redwinglift-execution": "not_run" },
        });
        return;
    }
    const route = findRoute(options.routes, call);
    if (route === undefined) {
        sendReply(call, { status: HttpStatus.NotFound, body: { effect: "none" } });
        return;
    }
    const reply = await runHandler(route, call);
    if (reply !== undefined && !call.isSilent()) {
        await sendThroughFaults(call, reply, facts, options);
    }
}

async function runHandler(route: StandinRoute, call: StandinCall): Promise<StandinReply | undefined> {
    try {
        return await route.handle(call);
    } catch (error) {
        return { status: HttpStatus.InternalServerError, body: { error: { message: String(error) } } };
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
    { gate, clock, replies }: RunCallOptions,
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
        sendHalfReply(call, reply);
        return;
    }
    const previous = replies.last;
    replies.last = { call, reply };
    if (previous !== undefined && gate.strike(FaultKind.AnswerCrossed, facts) !== undefined) {
        sendReply({ ...previous.call, response: call.response }, previous.reply);
        return;
    }
    const doubled = gate.strike(FaultKind.AnswerDoubled, facts);
    if (doubled !== undefined) {
        sendDoubledReply(call, reply, () => clock.waitMs(doubled.delayMs ?? 0));
        return;
    }
    sendReply(call, reply);
}
