/**
 * @module What a node knows of the whole fleet, by the last view that a relay sent or that it made as a relay.
 */
import type { FleetUsage } from "../../decisions/gateway/accountQuotas";
import { MEMBER_TIMEOUT_MS, UNREACHABLE_AFTER_MS } from "../../decisions/relays/constants";
import { advanceSuspects, mergeSuspects, sumClearances } from "../../decisions/relays/mergeSuspects";
import type { EndpointActivity, FleetView, ServiceLoad, SuspectParts } from "../../decisions/relays/news";
import type { FleetNewsOptions } from "./fleetNewsOptions";
import { NO_VIEW } from "./noFleetView";

/** A node assumes that it is no longer counted this long before it is not. */
const COUNTED_MARGIN_MS = 1_500;

/** A view with the monotonic time at which it was applied. */
export interface AppliedView {
    readonly content: FleetView;
    readonly atMs: number;
}

/** What a node knows of the fleet. */
export interface KnownFleet {
    /** Takes a view, and passes on what others need of it. */
    applyView(content: FleetView): void;
    /** Gives the last view; `undefined` until the first one. */
    readView(): AppliedView | undefined;
    /** True if a view arrived recently. */
    isInTouch(): boolean;
    /** Records what this node reports that it does at endpoints: the sums of a view contain it. */
    recordReported(endpoints: Readonly<Record<string, EndpointActivity>>): void;
    /** Records that a relay or the store counts this node among the live ones. */
    recordCounted(): void;
    readUsage(): FleetUsage;
    readLoad(service: string): ServiceLoad;
    /** Gives what this node itself knows of prompt parts that crash endpoints. */
    readOwnSuspects(): SuspectParts;
    /** Gives what all nodes know of them. */
    readSuspects(): SuspectParts;
}

type KnownFleetOptions = Pick<
    FleetNewsOptions,
    "evidence" | "rollouts" | "limits" | "handleActivity" | "readOwnNews" | "clock"
>;

/**
 * Creates the knowledge of a node that has no view yet.
 *
 * @param options - Where what a view says goes, and the clock
 * @returns The knowledge
 * @example
 * known.applyView(content);
 * known.readUsage().reachable;
 */
export function createKnownFleet(options: KnownFleetOptions): KnownFleet {
    const { clock } = options;
    let view: AppliedView | undefined;
    let reported: Readonly<Record<string, EndpointActivity>> = {};
    let countedAtMs = Number.NEGATIVE_INFINITY;

    const isFresh = (atMs: number, withinMs: number) => clock.readMonotonicMs() - atMs < withinMs;
    const isInTouch = () => view !== undefined && isFresh(view.atMs, UNREACHABLE_AFTER_MS);
    const applyView = (content: FleetView) => {
        // Before this node counts as loaded: its first request must not go where the others know that it must not.
        options.evidence.mergeEvidence(content.suspects);
        options.rollouts.mergeReports(content.rollouts);
        options.limits.mergeLimits(content.limits);
        view = { content, atMs: clock.readMonotonicMs() };
        const activity = new Map<string, EndpointActivity>();
        for (const [id, { inFlight, pendingTokens }] of Object.entries(content.endpoints)) {
            activity.set(id, {
                inFlight: Math.max(0, inFlight - (reported[id]?.inFlight ?? 0)),
                pendingTokens: Math.max(0, pendingTokens - (reported[id]?.pendingTokens ?? 0)),
            });
        }
        options.handleActivity(activity);
    };
    const readOwnSuspects = () => mergeSuspects([options.evidence.readEvidence()], sumClearances);
    const readUsage = (): FleetUsage => {
        const isListed = isFresh(countedAtMs, MEMBER_TIMEOUT_MS - COUNTED_MARGIN_MS);
        const known = view?.content ?? NO_VIEW;
        if (!isInTouch()) {
            return { ...NO_VIEW, nodes: known.nodes, reachable: 1, isCounted: isListed };
        }
        const hasMajority = known.reachable * 2 > known.nodes;
        return { ...known, isCounted: isListed || hasMajority };
    };
    const readSuspects = () => {
        const ofFleet = advanceSuspects(view?.content.suspects ?? {}, clock.readMonotonicMs() - (view?.atMs ?? 0));
        return mergeSuspects([ofFleet, readOwnSuspects()], Math.max);
    };
    return {
        applyView,
        readView: () => view,
        isInTouch,
        recordReported: endpoints => {
            reported = endpoints;
        },
        recordCounted: () => {
            countedAtMs = clock.readMonotonicMs();
        },
        readUsage,
        readLoad: service =>
            (isInTouch() ? view?.content.loads[service] : undefined) ??
            options.readOwnNews().loads[service] ?? { tokensPerSecond: 0, inFlight: 0 },
        readOwnSuspects,
        readSuspects,
    };
}
