/**
 * @module What the execution of requests is built from.
 */
import type { Clock } from "../../base/clock";
import type { ChatRequest } from "../../model/request";
import type { ApplicationRunnerPort } from "../../ports/applicationRunner";
import type { ModelRunnerPort } from "../../ports/modelRunner";
import type { AdmissionClient } from "../admission/admissionClient";
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
    /** Counts a prompt's tokens and hashes its prefixes. */
    readonly describePrompt: (chat: ChatRequest) => PromptDescription;
    /** Receives what operators should know: counts of retries, dropped events and the like; no bodies, no keys. */
    readonly reportEvent: (name: string, details: Readonly<Record<string, unknown>>) => void;
}
