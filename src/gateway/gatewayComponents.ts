/**
 * @module The components of a gateway that its modules share. `createGatewayParts` creates them.
 */
import type { Clock } from "../base/clock";
import type { Log } from "../base/log/log";
import type { Random } from "../base/random";
import type { GatewaySettings } from "../model/gateway";
import type { ForwardingCodec } from "../ports/forwardingCodec";
import type { ConfigurationHolder } from "./createConfigurationHolder";
import type { DemandMeter } from "./createDemandMeter";
import type { EndpointDirectory } from "./createEndpointDirectory";
import type { EndpointLimits } from "./createEndpointLimits";
import type { GatewayMetrics } from "./createGatewayMetrics";
import type { PartQuarantine } from "./createPartQuarantine";
import type { Rollouts } from "./rollouts";
import type { ServiceSpeeds } from "./createServiceSpeeds";
import type { UsageMeter } from "./createUsageMeter";
import type { FailureReporter } from "./createFailureReporter";
import type { FleetNews } from "./createFleetNews";
import type { BodyMemory } from "./createBodyMemory";

/** The components that take part in handling a request. */
export interface GatewayComponents {
    readonly settings: GatewaySettings;
    readonly clock: Clock;
    readonly random: Random;
    readonly log: Log;
    readonly metrics: GatewayMetrics;
    readonly codec: ForwardingCodec;
    readonly configuration: ConfigurationHolder;
    readonly directory: EndpointDirectory;
    readonly speeds: ServiceSpeeds;
    readonly usage: UsageMeter;
    readonly demand: DemandMeter;
    readonly news: FleetNews;
    readonly quarantine: PartQuarantine;
    readonly rollouts: Rollouts;
    readonly limits: EndpointLimits;
    readonly memory: BodyMemory;
    readonly reportFailure: FailureReporter;
}
