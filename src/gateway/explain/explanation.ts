/**
 * @module The explanation where a request would go: what a node answers and the command line shows.
 */
import { z } from "zod";

/** Path of explanations at the internal listener of a node. */
export const EXPLAIN_PATH = "/explain";
/** Most candidates that are given in full, over all services; the others are counted. */
export const CANDIDATES_MAX = 64;
/** Most services of a route that are explained. */
export const SERVICES_MAX = 8;

/** Why an endpoint gets no request; beside these the reasons of `UsabilityBar` and `PlacementBar`. */
export enum CandidateFilter {
    /** It has not loaded the model. */
    Model = "model",
    /** An attempt was made there before. */
    Tried = "tried",
    /** It has said that it wants no requests from this node for a time. */
    Refusing = "refusing",
    /** The limit that it names is used up. */
    Limited = "limited",
    /** It is cold, and this node may send it nothing now. */
    Cold = "cold",
    /** A roll-out gives its version nothing of this request. */
    Version = "version",
    /** It could not be reached lately, while others could. */
    Unreachable = "unreachable",
    /** Its recent attempts failed, while others take requests. */
    Failing = "failing",
    /** The request goes to another failure domain. */
    OtherDomain = "other_domain",
    /** The try of a suspected prompt part goes to an endpoint with fewer requests. */
    Busier = "busier",
}

const PARTS_SCHEMA = z.object({
    baseMs: z.number(),
    paceMs: z.number(),
    prefixMs: z.number(),
    loadMs: z.number(),
    distanceMs: z.number(),
    biasMs: z.number(),
    coldMs: z.number(),
    failuresMs: z.number(),
});

const CANDIDATE_SCHEMA = z.object({
    endpointId: z.string(),
    failureDomain: z.string(),
    region: z.string().optional(),
    version: z.string(),
    slots: z.number(),
    /** Requests in progress there, as far as this node knows. */
    inProgress: z.number(),
    pace: z.number().optional(),
    /** Estimated time until its response begins, and the parts of which that is the sum. */
    estimateMs: z.number(),
    parts: PARTS_SCHEMA,
    /** True if all nodes prefer it for the shared parts of the prompt. */
    isPreferred: z.boolean(),
    /** Why it gets no request; absent if it may. */
    filter: z.string().optional(),
    /** Time until it may get one, where that is known. */
    waitMs: z.number().optional(),
    /** Probability from 0 to 1 that a request to this service goes there now. */
    chance: z.number(),
});

const DOMAIN_SCHEMA = z.object({
    /** Absent if the failure domain isn't decided before the endpoint. */
    failureDomain: z.string().optional(),
    chance: z.number(),
    /** How one of the endpoints is taken; a value of `ChoiceRule`. */
    rule: z.string(),
    /** Number of endpoints that have a chance. */
    endpoints: z.number(),
});

const REFUSAL_SCHEMA = z.object({
    /** A kind of failure, as the caller would get it. */
    kind: z.string(),
    message: z.string(),
    retryAfterMs: z.number().optional(),
    /** Absent if it doesn't depend on the service that is drawn. */
    service: z.string().optional(),
    /** True if chance decides whether the request is refused. */
    isByChance: z.boolean(),
});

const SERVICE_SCHEMA = z.object({
    service: z.string(),
    /** Probability from 0 to 1 that the request goes to this service of the route. */
    chance: z.number(),
    /** The ordered move to another version. */
    rollout: z.object({ target: z.string(), phase: z.string() }).optional(),
    /** The failure domains that the request may go to, with their chances. */
    domains: z.array(DOMAIN_SCHEMA),
    /** The endpoint with the greatest chance; absent if none takes the request. */
    chosen: z.object({ endpointId: z.string(), chance: z.number() }).optional(),
    /** Number of its endpoints by filter; `open` for those without one. */
    counts: z.record(z.string(), z.number()),
    candidates: z.array(CANDIDATE_SCHEMA),
    /** Endpoints that are counted only. */
    omitted: z.number(),
});

const QUOTA_SCHEMA = z.object({
    /** `tokens` or `requests`. */
    unit: z.string(),
    /** What this request would be charged. */
    amount: z.number(),
    /** Absent if the account has no limit. */
    limits: z
        .object({
            /** The quota of a window, what all nodes admit at most (the bound less 1.5%), and what they have used. */
            quota: z.number(),
            bound: z.number(),
            used: z.number(),
        })
        .optional(),
    isAdmitted: z.boolean(),
    isByChance: z.boolean(),
});

/** The schema of an explanation. */
export const EXPLANATION_SCHEMA = z.object({
    node: z.string(),
    failureDomain: z.string(),
    configurationVersion: z.number().optional(),
    /** Time since the store last confirmed the configuration; absent if it never did. */
    confirmedAgeMs: z.number().optional(),
    route: z
        .object({
            name: z.string(),
            host: z.string(),
            pathPrefix: z.string(),
            kind: z.string(),
            objectiveMs: z.number(),
            /** Priority of the request: that of the account, or else of the route. */
            priority: z.number(),
            /** Regions whose endpoints may get the request; absent: all. */
            homeRegions: z.array(z.string()).optional(),
        })
        .optional(),
    account: z.object({ name: z.string(), quota: QUOTA_SCHEMA }).optional(),
    /** Failure domains that are evacuated. */
    evacuated: z.array(z.string()),
    /** What the quarantine says of the shared parts of the prompt; a value of `PartVerdict`. */
    quarantine: z.string(),
    /** What would refuse the request, in the order in which it is checked. */
    refusals: z.array(REFUSAL_SCHEMA),
    services: z.array(SERVICE_SCHEMA),
    /** Services of the route that are not explained. */
    omittedServices: z.number(),
});

/** An explanation. */
export type Explanation = z.infer<typeof EXPLANATION_SCHEMA>;
/** What would happen to a request for one service of a route. */
export type ServiceExplanation = z.infer<typeof SERVICE_SCHEMA>;
/** An endpoint of an explanation. */
export type ExplainedCandidate = z.infer<typeof CANDIDATE_SCHEMA>;
/** What would refuse a request. */
export type ExplainedRefusal = z.infer<typeof REFUSAL_SCHEMA>;
