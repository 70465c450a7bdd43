/**
 * @module Outcomes by route.
 */
import type { Candidate, OutcomeRecord } from "../candidate";
import { ROUTES_PER_ENDPOINT } from "../constants";
import { createOutcomeRecord } from "../createOutcomeRecord";

const RARE_ROUTES = "*";

/** Finds the record of a route, if there is one. */
export function findRoute(candidate: Candidate, route: string): OutcomeRecord | undefined {
    return candidate.routes.get(route) ?? candidate.routes.get(RARE_ROUTES);
}

/** Gives the record of a route, new if the endpoint has none. */
export function ensureRoute(candidate: Candidate, route: string): OutcomeRecord {
    const known = findRoute(candidate, route);
    if (known !== undefined) {
        return known;
    }
    const created = createOutcomeRecord();
    candidate.routes.set(candidate.routes.size < ROUTES_PER_ENDPOINT - 1 ? route : RARE_ROUTES, created);
    return created;
}
