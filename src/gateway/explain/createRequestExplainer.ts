/**
 * @module Explains where a request would go now, and what would refuse it, without sending it.
 */
import { err, ok, type Result } from "neverthrow";
import { createFailure } from "../../base/createFailure";
import { type Failure, FailureKind } from "../../base/failure";
import type { AccountQuotas } from "../../decisions/gateway/accountQuotas";
import { computeQuotaAmount } from "../../decisions/gateway/computeQuotaAmount";
import { PartVerdict } from "../../decisions/gateway/evaluatePart";
import { resolveHomeRegions } from "../../decisions/gateway/resolveHomeRegions";
import { findRoute } from "../../decisions/gateway/routeTable";
import type { GatewayAccount, GatewayRoute } from "../../model/gateway";
import type { CallerRequestHead } from "../../ports/forwardingCodec";
import { listServiceChances } from "../callers/buildExchange";
import { computeRequestTimes } from "../callers/computeRequestTimes";
import { createTargetAdmission } from "../callers/createTargetAdmission";
import type { PickState } from "../forwarding/createCandidatePicker";
import type { SpilloverControl } from "../forwarding/createSpillover";
import { createQuotaFailure, describeWithoutEndpoint, SHUTTING_DOWN_FAILURE } from "../forwarding/forwardingOutcome";
import type { GatewayComponents } from "../gatewayComponents";
import { describePartRefusal } from "../quarantine/describePartRefusal";
import { buildFollowedRequest } from "../quarantine/buildFollowedRequest";
import type { ConfigurationView } from "../tables/createConfigurationHolder";
import { createServiceExplainer } from "./createServiceExplainer";
import type { ExplainQuery } from "./explainQuery";
import { CANDIDATES_MAX, type ExplainedRefusal, type Explanation, SERVICES_MAX } from "./explanation";

/** Dependencies of the explainer. */
export interface RequestExplainerOptions {
    readonly components: GatewayComponents;
    readonly quotas: Pick<AccountQuotas, "explainCharge">;
    /** That of the forwarder. */
    readonly spillover: Pick<SpilloverControl, "explainDomains">;
    /** Tells whether a request that times out at a monotonic time is taken, or refused since the node stops. */
    readonly isTaken: (timeoutAtMs: number) => boolean;
}

/** Explains a request; fails if the question has no answer. */
export type RequestExplainer = (query: ExplainQuery) => Result<Explanation, Failure>;

/** Most hosts that are named where the path doesn't decide between them. */
const HOSTS_NAMED_MAX = 8;

/**
 * Creates the explainer. It uses the code that admits and forwards requests, and changes nothing at the node.
 *
 * @param options - Its dependencies
 * @returns The explainer
 * @example
 * const explanation = explainRequest(query);
 */
export function createRequestExplainer(options: RequestExplainerOptions): RequestExplainer {
    const { components, quotas, isTaken } = options;
    const { settings, configuration, clock, news, quarantine, evacuations } = components;
    const admitTarget = createTargetAdmission(components);
    const explainService = createServiceExplainer(components, options.spillover);

    const explainQuota = (account: GatewayAccount, head: CallerRequestHead) => {
        const amount = computeQuotaAmount(account, head);
        const charge = quotas.explainCharge(account, amount, news.readUsage(), clock.readMonotonicMs());
        const { isAdmitted, isByChance, quota, limit: bound, used } = charge;
        const unit = account.countsTokens ? "tokens" : "requests";
        const limits = account.quotaPerSecond > 0 ? { quota, bound, used } : undefined;
        return { unit, amount, limits, isAdmitted, isByChance };
    };
    const explainServices = (route: GatewayRoute, state: Omit<PickState, "exchange">, rest: RequestRest) => {
        const chances = listServiceChances(route);
        const shown = [...chances].sort(([, left], [, right]) => right - left).slice(0, SERVICES_MAX);
        let left = CANDIDATES_MAX;
        const services = shown.map(([service, chance], index) => {
            // Each service may use what those before it have left of their part.
            const exchange = { service, route, head: rest.head, homeRegions: rest.homeRegions };
            const explained = explainService({ ...state, exchange }, Math.floor(left / (shown.length - index)));
            left -= explained.explanation.candidates.length;
            return { ...explained, explanation: { ...explained.explanation, chance } };
        });
        return { services, omittedServices: chances.size - shown.length };
    };

    return query => {
        const view = configuration.readCurrent();
        const host = view === undefined ? ok("") : findHost(view, query);
        if (host.isErr()) {
            return err(host.error);
        }
        const named = view?.configuration.accounts?.find(({ name }) => name === query.account);
        if (query.account !== undefined && view !== undefined && named === undefined) {
            return err(createFailure(FailureKind.NotFound, "No account in the configuration has this name."));
        }
        const head = buildHead(query);
        const admitted = admitTarget({
            host: host.value,
            target: query.path,
            hasKey: query.account !== undefined,
            findAccount: () => (named === undefined || named.keys.length === 0 ? undefined : named),
        });
        const refusals: ExplainedRefusal[] = [];
        const addRefusal = ({ kind, message, retryAfterMs }: Failure, more: Partial<ExplainedRefusal> = {}) =>
            refusals.push({ kind, message, retryAfterMs, isByChance: false, ...more });
        if ("kind" in admitted) {
            addRefusal(describeAdmission(admitted, query));
        }
        const route = view === undefined ? undefined : findRoute(view.routes, host.value, query.path);
        const account = route?.isAnonymous === true ? undefined : named;
        const isRepeat = query.tried.length > 0;
        const hasSpare = Math.max(1, query.tried.length) + 1 < (route?.attemptsMax ?? 0);
        const followed = buildFollowedRequest(query.promptParts, undefined);
        const admission = quarantine.explainAttempt(followed, { isRepeat, hasSpare });
        const ageMs = configuration.computeAgeMs();
        const common = {
            node: settings.nodeName,
            failureDomain: settings.failureDomain,
            configurationVersion: view?.configuration.version,
            confirmedAgeMs: Number.isFinite(ageMs) ? ageMs : undefined,
            evacuated: [...evacuations.readDomains()],
            quarantine: admission.verdict,
        };
        if (route === undefined) {
            return ok({ ...common, refusals, services: [], omittedServices: 0 });
        }
        if (!isTaken(computeRequestTimes(route, head, clock.readMonotonicMs()).timeoutAtMs)) {
            addRefusal(SHUTTING_DOWN_FAILURE);
        }
        const quota = account === undefined ? undefined : explainQuota(account, head);
        if (account !== undefined && quota !== undefined && (!quota.isAdmitted || quota.isByChance)) {
            addRefusal(createQuotaFailure(account, quota.amount), { isByChance: quota.isByChance });
        }
        const isCareful = admission.verdict !== PartVerdict.Free;
        if (admission.retryAfterMs !== undefined || (isRepeat && !admission.allowsRepeat)) {
            addRefusal(describePartRefusal(0, admission.retryAfterMs));
        }
        const homeRegions = resolveHomeRegions(route.homeRegions, account?.homeRegions);
        const state = {
            request: { promptTokens: head.promptTokens ?? 0, promptParts: head.promptParts },
            triedEndpoints: new Set(query.tried),
            sends: query.tried.length,
            isCareful,
            relay: { readLastEventId: () => undefined },
        };
        const { services, omittedServices } = explainServices(route, state, { head, homeRegions });
        for (const { explanation, noCandidate } of services) {
            if (noCandidate !== undefined) {
                const relay = { hasBegun: () => false };
                const end = describeWithoutEndpoint({ relay, executions: 0 }, noCandidate.waitMs, noCandidate.bar);
                if (!end.isRelayed && end.failure !== undefined) {
                    addRefusal(end.failure, { service: explanation.service, isByChance: explanation.chance < 1 });
                }
            }
        }
        return ok({
            ...common,
            route: {
                name: route.name,
                host: route.host,
                pathPrefix: route.pathPrefix,
                kind: route.kind,
                objectiveMs: route.objectiveMs,
                priority: account?.priority ?? route.priority,
                homeRegions: homeRegions === undefined ? undefined : [...homeRegions],
            },
            account: account === undefined || quota === undefined ? undefined : { name: account.name, quota },
            refusals,
            services: services.map(({ explanation }) => explanation),
            omittedServices,
        });
    };
}

/** What of a request doesn't depend on its service. */
interface RequestRest {
    readonly head: CallerRequestHead;
    readonly homeRegions: readonly string[] | undefined;
}

function buildHead({ model, promptTokens, outputTokensMax, promptParts }: ExplainQuery): CallerRequestHead {
    return {
        requestId: undefined,
        model,
        deadlineMs: undefined,
        promptTokens,
        outputTokensMax,
        promptParts,
        key: undefined,
        lastEventId: undefined,
    };
}

/** Says of a question without an account, or of one without keys, what the admission can't know. */
function describeAdmission(failure: Failure, { account }: ExplainQuery): Failure {
    if (failure.kind !== FailureKind.Unauthenticated) {
        return failure;
    }
    const message =
        account === undefined
            ? "The route needs the key of an account; name one to see its quota and home regions."
            : "The account has no valid key.";
    return { ...failure, message };
}

/** Finds the host: the one that is named, or that of the only route which matches the path. */
function findHost({ routes }: ConfigurationView, { host, path }: ExplainQuery): Result<string, Failure> {
    if (host !== undefined) {
        return ok(host);
    }
    const hosts = [...routes.keys()].filter(name => findRoute(routes, name, path) !== undefined);
    if (hosts.length <= 1) {
        return ok(hosts[0] ?? "");
    }
    const shown = hosts.slice(0, HOSTS_NAMED_MAX).join(", ");
    const more = hosts.length > HOSTS_NAMED_MAX ? ` and ${hosts.length - HOSTS_NAMED_MAX} more` : "";
    return err(createFailure(FailureKind.InvalidRequest, `Name the host; the path has routes at ${shown}${more}.`));
}
