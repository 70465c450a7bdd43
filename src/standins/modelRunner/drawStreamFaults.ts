/**
 * @module The faults that strike one stream, decided when it begins.
 */
import type { FaultGate } from "../_lib/createFaultGate";
import { type FaultFacts, FaultKind } from "../fault";

/** What will go wrong with a stream. */
export interface StreamFaults {
    /** Tokens after which the connection is reset. */
    readonly cutAfterTokens?: number;
    /** Tokens after which nothing more is sent. */
    readonly silentAfterTokens?: number;
    /** Delay of everything sent. */
    readonly lateMs: number;
    readonly isDoubled: boolean;
    /** Chunks carry the identity of another request. */
    readonly isCrossed: boolean;
    /** The request is executed and the connection reset before anything is sent. */
    readonly isAnswerLost: boolean;
}

/**
 * Draws the faults of a stream.
 *
 * @param gate - The rules in force
 * @param facts - What they are held against
 * @returns The stream's faults
 * @example
 * drawStreamFaults(gate, { route: "/v1/chat/completions", version: "v1", running: 3 });
 */
export function drawStreamFaults(gate: FaultGate, facts: FaultFacts): StreamFaults {
    const cut = gate.strike(FaultKind.StreamCut, facts);
    const silent = gate.strike(FaultKind.StreamSilent, facts);
    return {
        cutAfterTokens: cut && (cut.afterTokens ?? 0),
        silentAfterTokens: silent && (silent.afterTokens ?? 0),
        lateMs: gate.strike(FaultKind.AnswerLate, facts)?.delayMs ?? 0,
        isDoubled: gate.strike(FaultKind.AnswerDoubled, facts) !== undefined,
        isCrossed: gate.strike(FaultKind.AnswerCrossed, facts) !== undefined,
        isAnswerLost: gate.strike(FaultKind.AnswerLostAfterEffect, facts) !== undefined,
    };
}
