/**
 * @module This project's policy: the decisions of admission and routing, put together as in their tasks.
 */
import { createRandom } from "../../src/base/createRandom";
import type { WaitingRequest } from "../../src/decisions/admission/admissionPool";
import { buildWaitingRequest } from "../../src/decisions/admission/buildWaitingRequest";
import { createAdmissionPool } from "../../src/decisions/admission/createAdmissionPool";
import { decideArrival } from "../../src/decisions/admission/decideArrival";
import { dispatchRequest } from "../../src/decisions/admission/dispatchRequest";
import { dropLateRequests } from "../../src/decisions/admission/dropLateRequests";
import { finishAdmittedRequest } from "../../src/decisions/admission/finishAdmittedRequest";
import { queueRequest } from "../../src/decisions/admission/queueRequest";
import { applyCacheEvents } from "../../src/decisions/routing/applyCacheEvents";
import { applyEndpoints } from "../../src/decisions/routing/applyEndpoints";
import { applyLoadDigest } from "../../src/decisions/routing/applyLoadDigest";
import { applyLoadReport } from "../../src/decisions/routing/applyLoadReport";
import { applyPrices } from "../../src/decisions/routing/applyPrices";
import { buildLoadDigest } from "../../src/decisions/routing/buildLoadDigest";
import { computeDigestPeriod } from "../../src/decisions/routing/computeDigestPeriod";
import { createRoutingState } from "../../src/decisions/routing/createRoutingState";
import { decideRoute } from "../../src/decisions/routing/decideRoute";
import { decodeLoadDigest } from "../../src/decisions/routing/decodeLoadDigest";
import { encodeLoadDigest } from "../../src/decisions/routing/encodeLoadDigest";
import { findCostAtTarget } from "../../src/decisions/routing/findCostAtTarget";
import { readServiceCapacity } from "../../src/decisions/routing/readServiceCapacity";
import { recordAttemptReport } from "../../src/decisions/routing/recordAttemptReport";
import { recordDemand } from "../../src/decisions/routing/recordDemand";
import { refreshRouting } from "../../src/decisions/routing/refreshRouting";
import { type Configuration, ServiceKind, type WorkClass } from "../../src/model/configuration";
import type { RequestContext } from "../../src/model/request";
import { AttemptReportKind } from "../../src/tasks/routing/routingClient";
import type { NodeWorld, Policy, PolicyNode } from "./policy";
import { ON_DEMAND_MICROS_PER_HOUR, RECLAIMABLE_MICROS_PER_HOUR } from "./settings";
import type { SimulatedRequest } from "./workload";

const SERVICE = "assistant";
const DEADLINE_MS = 60_000;

function createClass(name: string, latencyTargetMs: number): WorkClass {
    const times = { latencyTargetMs, tokenGapTargetMs: 60, deadlineMs: DEADLINE_MS };
    return { name, ...times, costCeilingMicros: 100_000, isIdempotent: true };
}

/** The configuration of the simulated clusters. */
export const CONFIGURATION: Configuration = {
    revision: 1,
    classes: { question: createClass("question", 1_200), digest: createClass("digest", 4_000) },
    accounts: {},
    services: { [SERVICE]: { name: SERVICE, kind: ServiceKind.Model, version: "v1" } },
    endpointTraits: {},
    versionMoves: {},
};

/** Admission and routing of this project. */
export const OWN_POLICY: Policy = { name: "redwinglift", createNode: createOwnNode };

function createOwnNode(world: NodeWorld): PolicyNode {
    const random = createRandom(world.seed);
    const placement = { region: world.failureDomain, failureDomain: world.failureDomain };
    const state = createRoutingState(world.nodeId, placement);
    const pool = createAdmissionPool();
    const waiting = new Map<string, SimulatedRequest>();
    const contexts = new Map<string, RequestContext>();
    const isBraked = () => false;
    let digestDueAtMs = 0;
    state.nodeCount = world.size.nodes;

    const readCapacity = (costCeilingMicros: number, nowMs: number) =>
        readServiceCapacity(state, SERVICE, { configuration: CONFIGURATION, isBraked, costCeilingMicros, nowMs });
    const takeWaiting = (requestId: string) => {
        const request = waiting.get(requestId);
        waiting.delete(requestId);
        return request;
    };
    const dispatchPool = (nowMs: number) => {
        for (const lost of dropLateRequests(pool, nowMs)) {
            const request = takeWaiting(lost.requestId);
            if (request !== undefined) {
                world.refuse(request);
            }
        }
        const hasRoom = (request: WaitingRequest) => {
            const seen = readCapacity(request.costCeilingMicros, nowMs);
            return seen.freeSlots - Math.max(0, pool.admitted.size - seen.ownInFlight) >= 1;
        };
        for (
            let next = dispatchRequest(pool, hasRoom, nowMs);
            next !== undefined;
            next = dispatchRequest(pool, hasRoom, nowMs)
        ) {
            const request = takeWaiting(next.requestId);
            if (request !== undefined) {
                world.start(request);
            }
        }
    };
    const arrive = (request: SimulatedRequest, nowMs: number) => {
        const workClass = CONFIGURATION.classes[request.className] as WorkClass;
        const context: RequestContext = {
            requestId: request.requestId,
            accountName: request.accountName,
            className: request.className,
            isIdempotent: true,
            acceptedAtMs: nowMs,
            firstTokenDueAtMs: nowMs + request.targetMs,
            deadlineAtMs: nowMs + DEADLINE_MS,
        };
        const seen = readCapacity(workClass.costCeilingMicros, nowMs);
        const { promptTokens, maximumTokens } = request;
        const queued = buildWaitingRequest(pool, { context, promptTokens, maximumTokens }, workClass, seen);
        const service = state.services.get(SERVICE);
        if (service !== undefined) {
            recordDemand(service, queued.costTokens, nowMs);
        }
        const costAtTargetMicros = findCostAtTarget(service?.candidates ?? [], promptTokens, request.targetMs);
        if (decideArrival(pool, queued, { ...seen, costAtTargetMicros }, nowMs) !== undefined) {
            world.refuse(request);
            return;
        }
        contexts.set(request.requestId, context);
        waiting.set(request.requestId, request);
        queueRequest(pool, queued);
        dispatchPool(nowMs);
    };
    const report = (
        request: SimulatedRequest,
        attempt: number,
        kind: AttemptReportKind,
        elapsedMs: number,
        nowMs: number,
    ) => {
        const id = { requestId: request.requestId, attempt };
        recordAttemptReport(state, { kind, id, endpointId: "", elapsedMs, tokens: 0 }, nowMs);
    };
    return {
        arrive,
        choose: (request, attempt, nowMs) => {
            const query = {
                id: { requestId: request.requestId, attempt },
                context: contexts.get(request.requestId) as RequestContext,
                serviceName: SERVICE,
                route: "chat",
                prefixHashes: request.prefixHashes,
                promptTokens: request.promptTokens,
                maximumTokens: request.maximumTokens,
                excludedEndpointIds: [],
            };
            const options = { configuration: CONFIGURATION, random, isBraked, nowMs };
            return decideRoute(state, query, options).match(
                route => route.endpoint.endpointId,
                () => undefined,
            );
        },
        recordFirstToken: (request, attempt, elapsedMs, nowMs) =>
            report(request, attempt, AttemptReportKind.FirstToken, elapsedMs, nowMs),
        recordEnded: (request, attempt, elapsedMs, isLost, nowMs) =>
            report(
                request,
                attempt,
                isLost ? AttemptReportKind.Cancelled : AttemptReportKind.Finished,
                elapsedMs,
                nowMs,
            ),
        finish: (request, nowMs) => {
            finishAdmittedRequest(pool, request.requestId, request.promptTokens + request.answerTokens, nowMs);
            contexts.delete(request.requestId);
            dispatchPool(nowMs);
        },
        tick: nowMs => {
            refreshRouting(state, nowMs);
            dispatchPool(nowMs);
            if (nowMs >= digestDueAtMs) {
                const digest = encodeLoadDigest(buildLoadDigest(state, nowMs));
                digestDueAtMs = nowMs + computeDigestPeriod(state.nodeCount, digest.length);
                world.publishDigest(digest);
            }
        },
        applyLoad: (vmId, load, nowMs) => {
            const candidate = state.candidates.get(vmId);
            if (candidate !== undefined) {
                applyLoadReport(candidate, load, nowMs);
            }
        },
        applyCacheEvents: (vmId, events) => {
            const candidate = state.candidates.get(vmId);
            const service = state.services.get(SERVICE);
            if (candidate !== undefined && service?.candidates.includes(candidate) === true) {
                applyCacheEvents(service.index, candidate, events);
            }
        },
        applyVms: vms => {
            applyEndpoints(state, vms);
            applyPrices(
                state,
                vms.map(vm => ({
                    ...vm,
                    microsPerHour: vm.isReclaimable ? RECLAIMABLE_MICROS_PER_HOUR : ON_DEMAND_MICROS_PER_HOUR,
                })),
            );
        },
        applyDigest: (fromNodeId, payload, nowMs) =>
            applyLoadDigest(state, fromNodeId, decodeLoadDigest(payload), nowMs),
        listPolled: () => state.services.get(SERVICE)?.candidates.map(({ endpoint }) => endpoint.endpointId) ?? [],
    };
}
