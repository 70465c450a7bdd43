/**
 * @module The control route of a stand-in.
 */
import type { FaultRule } from "../fault";
import type { FaultGate } from "./createFaultGate";
import { parseFaults } from "./parseFaults";
import { sendReply } from "./sendReply";
import type { StandinCall } from "./standinCall";
import { HttpStatus } from "../../adapters/_lib/httpStatus";

/**
 * Handles a call to `/faults`: GET lists the rules in force, POST replaces them. Faults never strike it.
 *
 * @param call - The call
 * @param gate - The rules in force
 * @param setFaults - Replaces the rules
 * @example
 * handleControlCall(call, gate, setFaults);
 */
export function handleControlCall(
    call: StandinCall,
    gate: FaultGate,
    setFaults: (rules: readonly FaultRule[]) => void,
): void {
    if (call.method !== "POST") {
        sendReply(call, { status: HttpStatus.Ok, body: { faults: gate.readRules() } });
        return;
    }
    parseFaults(call.body).match(
        rules => {
            setFaults(rules);
            sendReply(call, { status: HttpStatus.Ok, body: { faults: rules } });
        },
        failure => sendReply(call, { status: HttpStatus.BadRequest, body: { error: failure } }),
    );
}
