/**
 * @module The faults that can strike any call with an effect, and what may be said about the effect afterwards.
 */
import { FaultKind, type FaultRule } from "../../standins/fault";
import { CONTRACT_DELAY_MS } from "./contractSubject";

/** One fault and its consequence. */
export interface FaultCase {
    readonly name: string;
    /** When it strikes, seen from the effect of the call. */
    readonly stage: "before" | "during" | "after";
    readonly rule: FaultRule;
    /** Time for the adapter to see that its kept connection was closed; a call in between has an unknown outcome. */
    readonly noticedAfterMs?: number;
    /** Whether the call takes effect, at once or later. */
    readonly takesEffect: boolean;
    /** Whether the adapter can know, and must report, that nothing took effect. */
    readonly isKnownWithoutEffect: boolean;
}

/** All cases. Each is run after one good call, so that there is a kept connection and an earlier answer. */
export const FAULT_CASES: readonly FaultCase[] = [
    {
        name: "the service has gone down",
        stage: "before",
        rule: { kind: FaultKind.Down },
        noticedAfterMs: 50,
        takesEffect: false,
        isKnownWithoutEffect: true,
    },
    {
        name: "the service says that nothing took effect",
        stage: "before",
        rule: { kind: FaultKind.Unavailable },
        takesEffect: false,
        isKnownWithoutEffect: true,
    },
    {
        name: "the connection is reset before the effect",
        stage: "before",
        rule: { kind: FaultKind.AnswerLostBeforeEffect },
        takesEffect: false,
        isKnownWithoutEffect: false,
    },
    {
        name: "the kept connection has gone silent",
        stage: "before",
        rule: { kind: FaultKind.ConnectionsSilent },
        takesEffect: false,
        isKnownWithoutEffect: false,
    },
    {
        name: "the effect comes after the caller gave up",
        stage: "during",
        rule: { kind: FaultKind.Slow, delayMs: CONTRACT_DELAY_MS },
        takesEffect: true,
        isKnownWithoutEffect: false,
    },
    {
        name: "the answer breaks off in the middle",
        stage: "after",
        rule: { kind: FaultKind.AnswerCut },
        takesEffect: true,
        isKnownWithoutEffect: false,
    },
    {
        name: "the answer comes after the caller gave up",
        stage: "after",
        rule: { kind: FaultKind.AnswerLate, delayMs: CONTRACT_DELAY_MS },
        takesEffect: true,
        isKnownWithoutEffect: false,
    },
    {
        name: "the answer is lost",
        stage: "after",
        rule: { kind: FaultKind.AnswerLostAfterEffect },
        takesEffect: true,
        isKnownWithoutEffect: false,
    },
    {
        name: "the answer of another call arrives",
        stage: "after",
        rule: { kind: FaultKind.AnswerCrossed },
        takesEffect: true,
        isKnownWithoutEffect: false,
    },
];
