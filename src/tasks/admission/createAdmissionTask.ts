/**
 * @module The task that decides which requests may start, and when.
 */
import { err, ok, type Result } from "neverthrow";
import type { Clock } from "../../base/clock";
import { createFailure } from "../../base/createFailure";
import type { Disposable } from "../../base/disposableStore";
import type { DumpSource } from "../../base/dump";
import { type Failure, FailureKind } from "../../base/failure";
import type { CapacitySource } from "../../decisions/routing/serviceCapacity";
import type { ConfigurationClient } from "../configuration/configurationClient";
import type { AdmissionClient } from "./admissionClient";

/** What the admission task needs. */
export interface AdmissionDependencies {
    readonly clock: Clock;
    readonly configuration: ConfigurationClient;
    readonly capacity: CapacitySource;
    readonly reportFailure: (name: string, failure: Failure) => void;
}

/** The running admission task. */
export interface AdmissionTask extends AdmissionClient, DumpSource, Disposable {
    /** Refuses all further requests as `ShuttingDown`; waiting ones are still served. */
    stopAdmitting(): void;
}

/**
 * Creates the admission task.
 *
 * @param dependencies - What the task needs
 * @returns Its client, which also shows its state and ends it
 * @example
 * const admission = createAdmissionTask({ clock, configuration, capacity: routing, reportFailure });
 */
export function createAdmissionTask(dependencies: AdmissionDependencies): AdmissionTask {
    const admitted = new Set<string>();
    let isStopping = false;
    return {
        name: "admission",
        requestAdmission: async (request): Promise<Result<void, Failure>> => {
            if (isStopping) {
                return err(createFailure(FailureKind.ShuttingDown, "This node is shutting down."));
            }
            if (dependencies.capacity.readCapacity(request.serviceName).liveEndpoints === 0) {
                return err(createFailure(FailureKind.Overloaded, "No endpoint is live.", { retryAfterMs: 1_000 }));
            }
            admitted.add(request.context.requestId);
            return ok(undefined);
        },
        cancelAdmission: requestId => void admitted.delete(requestId),
        finishRequest: requestId => void admitted.delete(requestId),
        stopAdmitting: () => {
            isStopping = true;
        },
        dumpState: () => ({ admitted: admitted.size, isStopping }),
        dispose: () => admitted.clear(),
    };
}
