/**
 * @module Outcome records of an endpoint by route.
 */
import type { Candidate, OutcomeRecord } from "../candidate";
import { ROUTES_PER_ENDPOINT } from "../constants";
import { createOutcomeRecord } from "../createOutcomeRecord";

/** Key of the record shared by all routes beyond `ROUTES_PER_ENDPOINT`. */
const SHARED_ROUTE_KEY = "*";

/** Finds the outcome record of a route: its own, else the shared one, if either exists. */
export function findRouteOutcomes(candidate: Candidate, route: string): OutcomeRecord | undefined {
    return candidate.routes.get(route) ?? candidate.routes.get(SHARED_ROUTE_KEY);
}

/** Returns the outcome record of a route and creates it if neither its own nor the shared one exists. */
export function ensureRouteOutcomes(candidate: Candidate, route: string): OutcomeRecord {
    const known = findRouteOutcomes(candidate, route);
    if (known !== undefined) {
        return known;
    }
    const created = createOutcomeRecord();
    candidate.routes.set(candidate.routes.size < ROUTES_PER_ENDPOINT - 1 ? route : SHARED_ROUTE_KEY, created);
    return created;
}
