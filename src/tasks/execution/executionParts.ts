/**
 * @module What the execution of requests is built from.
 */
import type { Clock } from "../../base/clock";
import type { Metrics } from "../../base/metrics/metrics";
import type { ReclaimTerms } from "../../decisions/outcomes/reclaim/reclaimMove";
import type { ChatRequest } from "../../model/request";
import type { ApplicationRunnerPort } from "../../ports/applicationRunner";
import type { ModelRunnerPort } from "../../ports/modelRunner";
import type { AdmissionClient } from "../admission/admissionClient";
import type { ClaimClient } from "../claims/claimClient";
import type { RoutingClient } from "../routing/routingClient";

/** What routing and admission must know of a prompt. */
export interface PromptDescription {
    readonly promptTokens: number;
    /** Hashes of growing prompt prefixes, shortest first; one per block of tokens. */
    readonly prefixHashes: readonly string[];
}

/** The parts that executions use. */
export interface ExecutionParts {
    readonly admission: AdmissionClient;
    readonly routing: RoutingClient;
    readonly models: ModelRunnerPort;
    readonly applications: ApplicationRunnerPort;
    readonly clock: Clock;
    /** Receives what operators may want to see: dropped events, refused retries, moves. No bodies, no keys. */
    readonly reportEvent: (name: string, details: Readonly<Record<string, unknown>>) => void;
    /** Guards executions that may not be repeated (default: such requests are refused). */
    readonly claims?: ClaimClient;
    readonly metrics?: Metrics;
    /** Counts a prompt's tokens and hashes its prefixes (default: from the text alone). */
    readonly describePrompt?: (chat: ChatRequest) => PromptDescription;
    /** Speeds and prices of moves between the runners of a service (default: `DEFAULT_RECLAIM_TERMS`). */
    readonly readReclaimTerms?: (serviceName: string) => ReclaimTerms;
}
