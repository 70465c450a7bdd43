/**
 * @module What a node is given from outside: time, chance, logs and the ports to the outside world.
 */
import type { Clock } from "./base/clock";
import type { Random } from "./base/createRandom";
import type { Disposable } from "./base/disposableStore";
import type { Log } from "./base/log/log";
import type { Metrics } from "./base/metrics/metrics";
import type { ApplicationRunnerPort } from "./ports/applicationRunner";
import type { CloudPort, VmListPort } from "./ports/cloud";
import type { ModelRunnerPort } from "./ports/modelRunner";
import type { ObjectsPort } from "./ports/objects";
import type { TablePort } from "./ports/table";

/** The outside of a node. Disposing it closes what the ports hold open. */
export interface NodeParts extends Disposable {
    readonly clock: Clock;
    readonly random: Random;
    readonly log: Log;
    readonly metrics: Metrics;
    readonly table: TablePort;
    readonly objects: ObjectsPort;
    readonly cloud: CloudPort;
    readonly vmList: VmListPort;
    readonly modelRunners: ModelRunnerPort;
    readonly applicationRunners: ApplicationRunnerPort;
}
