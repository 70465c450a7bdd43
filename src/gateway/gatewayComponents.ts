/**
 * @module The components of a gateway that its modules share. `createGatewayParts` creates them.
 */
import type { Clock } from "../base/clock";
import type { Log } from "../base/log/log";
import type { Random } from "../base/random";
import type { GatewaySettings } from "../model/gateway";
import type { ForwardingCodec } from "../ports/forwardingCodec";
import type { ConfigurationHolder } from "./tables/createConfigurationHolder";
import type { DemandMeter } from "./duties/createDemandMeter";
import type { ColdEndpoints } from "./endpoints/createColdEndpoints";
import type { EndpointDirectory } from "./endpoints/createEndpointDirectory";
import type { Evacuations } from "./endpoints/createEvacuations";
import type { EndpointLimits } from "./endpoints/createEndpointLimits";
import type { GatewayMetrics } from "./process/createGatewayMetrics";
import type { PartQuarantine } from "./quarantine/createPartQuarantine";
import type { Rollouts } from "./rollouts/rollouts";
import type { ServiceAdmission } from "./forwarding/serviceAdmission";
import type { ServiceSpeeds } from "./forwarding/createServiceSpeeds";
import type { UsageMeter } from "./duties/createUsageMeter";
import type { FailureReporter } from "./process/createFailureReporter";
import type { FleetNews } from "./news/createFleetNews";
import type { BodyMemory } from "./callers/createBodyMemory";

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
    readonly evacuations: Evacuations;
    readonly coldEndpoints: ColdEndpoints;
    readonly admission: ServiceAdmission;
    readonly memory: BodyMemory;
    readonly reportFailure: FailureReporter;
}
