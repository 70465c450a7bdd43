/**
 * @module What the handlers of the callers' face are built from.
 */
import type { Clock } from "../base/clock";
import type { ConfigurationClient } from "../tasks/configuration/configurationClient";
import type { ExecutionClient } from "../tasks/execution/executionClient";
import type { JobClient } from "../tasks/jobs/jobClient";
import type { BodyLimits } from "../http/readBody";

/** Handles that the handlers use. */
export interface CallerDependencies {
    readonly clock: Clock;
    readonly configuration: ConfigurationClient;
    readonly execution: ExecutionClient;
    readonly jobs: JobClient;
    readonly limits: BodyLimits;
}
