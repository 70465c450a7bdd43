/**
 * @module What a contract test is run against.
 */
import type { Disposable } from "../../base/disposableStore";
import type { FaultSwitches } from "../../standins/fault";

/** An adapter and the switches of the service behind it. */
export interface ContractSubject<Port> extends Disposable {
    readonly port: Port;
    readonly faults: FaultSwitches;
}

/** Bounds that the adapters under test are built with; faults that delay do so for longer. */
export const CONTRACT_TIMEOUTS = { connectMs: 500, firstByteMs: 500, silenceMs: 500 };

/** Delay of faults that must outlast the adapter's waits. */
export const CONTRACT_DELAY_MS = 900;
