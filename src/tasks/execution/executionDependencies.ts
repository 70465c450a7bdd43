/**
 * @module Dependencies of request execution.
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

/** Properties of a prompt that routing and admission need. */
export interface PromptDescription {
    readonly promptTokens: number;
    /** Hashes of the prompt prefixes that end at a block of tokens, shortest first. */
    readonly prefixHashes: readonly string[];
}

/** The clients, ports and settings that executions use. */
export interface ExecutionDependencies {
    readonly admission: AdmissionClient;
    readonly routing: RoutingClient;
    readonly models: ModelRunnerPort;
    readonly applications: ApplicationRunnerPort;
    readonly clock: Clock;
    /** Reports events of interest to operators: dropped events, refused retries, failed moves. No bodies, no keys. */
    readonly reportEvent: (name: string, details: Readonly<Record<string, unknown>>) => void;
    /** Claims idempotency keys of requests that may not be repeated (default: such requests are refused). */
    readonly claims?: ClaimClient;
    readonly metrics?: Metrics;
    /** Counts a prompt's tokens and hashes its prefixes (default: estimated from the text). */
    readonly describePrompt?: (chat: ChatRequest) => PromptDescription;
    /** Speeds and prices of moves between the runners of a service (default: `DEFAULT_RECLAIM_TERMS`). */
    readonly readReclaimTerms?: (serviceName: string) => ReclaimTerms;
}
