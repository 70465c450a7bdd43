/**
 * @module Shows people where a request would go.
 */
import { ChoiceRule } from "../../decisions/gateway/explainChoice";
import { PartVerdict } from "../../decisions/gateway/evaluatePart";
import type {
    ExplainedCandidate,
    ExplainedRefusal,
    Explanation,
    ServiceExplanation,
} from "../../gateway/explain/explanation";
import { formatTable } from "./formatTable";
import { removeControls } from "./removeControls";

const HEAD = [
    "endpoint",
    "failure domain",
    "region",
    "version",
    "chance",
    "estimate ms",
    "base",
    "pace",
    "prefix",
    "load",
    "distance",
    "bias",
    "cold",
    "failures",
    "in progress",
    "filtered by",
];
const MS_PER_S = 1_000;
/** Explains how one of several endpoints is taken. */
const RULES: Readonly<Record<string, (count: number) => string>> = {
    [ChoiceRule.Nothing]: () => "no endpoint takes the request",
    [ChoiceRule.Only]: () => "no other endpoint has a chance",
    [ChoiceRule.Tied]: count =>
        `chance decides: the estimates of ${count} endpoints count as equal to the lowest, and each is as likely`,
    [ChoiceRule.DrawnByWeight]: count =>
        `chance decides: one of ${count} endpoints is drawn, weighted by estimate, slots and pace`,
    [ChoiceRule.TwoDrawnByWeight]: count =>
        `chance decides: two of ${count} endpoints are drawn, weighted by estimate, slots and pace, and the lower pace is taken`,
};

/**
 * Formats an explanation.
 *
 * @param explanation - What a node has answered
 * @returns Lines and a table for each service
 * @example
 * context.write(formatExplanation(explanation));
 */
export function formatExplanation(explanation: Explanation): string {
    const { services, omittedServices, refusals } = explanation;
    const lines = [
        describeNode(explanation),
        describeRoute(explanation),
        describeAccount(explanation),
        explanation.evacuated.length > 0 ? `Evacuated: ${explanation.evacuated.join(", ")}.` : "",
        explanation.quarantine === PartVerdict.Free ? "" : `Shared parts of the prompt: ${explanation.quarantine}.`,
        ...(refusals.length > 0 || explanation.route === undefined
            ? refusals.map(describeRefusal)
            : ["Nothing refuses the request."]),
        services.length > 1 ? "Chance decides on the service, by weight." : "",
    ];
    return [
        ...lines.filter(line => line !== "").map(removeControls),
        ...services.map(service => formatService(service, refusals.length > 0)),
        ...(omittedServices > 0 ? [`${omittedServices} more services of the route.`] : []),
    ].join("\n");
}

function describeNode({ node, failureDomain, configurationVersion, confirmedAgeMs }: Explanation): string {
    const version = configurationVersion === undefined ? "no configuration" : `configuration ${configurationVersion}`;
    const age = confirmedAgeMs === undefined ? "never confirmed" : `confirmed ${formatSeconds(confirmedAgeMs)} ago`;
    return `Node ${node} in ${failureDomain}: ${version}, ${age}.`;
}

function describeRoute({ route }: Explanation): string {
    if (route === undefined) {
        return "No route.";
    }
    const { name, host, pathPrefix, kind, objectiveMs, priority, homeRegions } = route;
    const regions = homeRegions === undefined ? "any region" : `home regions: ${homeRegions.join(", ") || "none"}`;
    return `Route ${name}: ${host}${pathPrefix}, ${kind}, objective ${objectiveMs} ms, priority ${priority}, ${regions}.`;
}

function describeAccount({ account }: Explanation): string {
    if (account === undefined) {
        return "";
    }
    const { unit, amount, limits, isAdmitted, isByChance } = account.quota;
    if (limits === undefined) {
        return `Account ${account.name}: no quota.`;
    }
    const { quota, bound, used } = limits;
    const admitted = isByChance ? "chance decides whether it is admitted" : isAdmitted ? "admitted" : "not admitted";
    const state = `${Math.round(used)} used of ${Math.round(quota)} ${unit} a window (bound ${Math.round(bound)})`;
    return `Account ${account.name}: ${state}; this request counts ${amount}: ${admitted}.`;
}

function describeRefusal({ kind, message, retryAfterMs, service, isByChance }: ExplainedRefusal): string {
    const place = service === undefined ? "" : ` by service ${service}`;
    const retry = retryAfterMs === undefined ? "" : ` Retry after ${formatSeconds(retryAfterMs)}.`;
    return `${isByChance ? "Perhaps refused" : "Refused"}${place}: ${kind}: ${message}${retry}`;
}

function formatService(service: ServiceExplanation, isRefused: boolean): string {
    const { candidates, omitted, counts, rollout, chance } = service;
    const share = chance < 1 ? `, ${formatShare(chance)} of the requests` : "";
    const move = rollout === undefined ? "" : `, roll-out of ${rollout.target}: ${rollout.phase}`;
    const numbers = Object.entries(counts).map(([filter, count]) => `${filter} ${count}`);
    return [
        "",
        removeControls(`Service ${service.service}${share}${move}; endpoints: ${numbers.join(", ") || "none"}.`),
        ...listChoiceLines(service, isRefused).map(removeControls),
        ...(candidates.length > 0 ? [formatTable(HEAD, candidates.map(buildRow))] : []),
        ...(omitted > 0 ? [`${omitted} more endpoints are counted only.`] : []),
    ].join("\n");
}

function listChoiceLines({ domains, chosen, candidates }: ServiceExplanation, isRefused: boolean): readonly string[] {
    if (chosen === undefined) {
        return ["No endpoint takes the request."];
    }
    const { endpointId, chance } = chosen;
    const condition = isRefused ? "If it were not refused: " : "";
    const next = candidates.find(other => other.filter === undefined && other.endpointId !== endpointId);
    const estimateMs = candidates.find(other => other.endpointId === endpointId)?.estimateMs ?? 0;
    const nextBest =
        next === undefined
            ? "the only endpoint that takes it"
            : `its estimate is ${formatMs(estimateMs)} ms, the next one, of ${next.endpointId}, ${formatMs(next.estimateMs)} ms`;
    const choice =
        chance >= 1
            ? `${endpointId} would be chosen; ${nextBest}.`
            : `${endpointId} is most likely, with ${formatShare(chance)}.`;
    const hasShares = domains.length > 1;
    return [
        `${condition}${choice}`,
        ...(hasShares ? ["Chance decides on the failure domain first, by the shares of spillover:"] : []),
        ...domains
            .filter(({ rule }) => hasShares || (rule as ChoiceRule) !== ChoiceRule.Only)
            .map(({ failureDomain, chance: share, rule, endpoints }) => {
                const place = failureDomain === undefined ? "" : `${failureDomain}, ${formatShare(share)}: `;
                return `  ${place}${RULES[rule]?.(endpoints) ?? rule}.`;
            }),
    ];
}

function buildRow(candidate: ExplainedCandidate): readonly (string | number)[] {
    const { parts, filter, waitMs, pace, isPreferred } = candidate;
    const wait = waitMs === undefined ? "" : ` for ${formatSeconds(waitMs)}`;
    const { baseMs, paceMs, prefixMs, loadMs, distanceMs, biasMs, coldMs, failuresMs } = parts;
    return [
        candidate.endpointId,
        candidate.failureDomain,
        candidate.region ?? "",
        candidate.version,
        candidate.chance === 0 ? "-" : formatShare(candidate.chance),
        formatMs(candidate.estimateMs),
        formatMs(baseMs),
        pace === undefined ? "-" : `${formatMs(paceMs)} (${Math.round(pace)})`,
        `${formatMs(prefixMs)}${isPreferred ? " (preferred)" : ""}`,
        ...[loadMs, distanceMs, biasMs, coldMs, failuresMs].map(formatMs),
        `${formatMs(candidate.inProgress)}/${candidate.slots}`,
        filter === undefined ? "" : `${filter}${wait}`,
    ];
}

/** Gives a number with at most one decimal. */
function formatMs(value: number): string {
    const rounded = Math.round(value * 10) / 10;
    return String(rounded === 0 ? 0 : rounded);
}

function formatSeconds(milliseconds: number): string {
    return `${Math.round(milliseconds / 100) / (MS_PER_S / 100)} s`;
}

function formatShare(share: number): string {
    return `${Math.round(share * 1_000) / 10}%`;
}
