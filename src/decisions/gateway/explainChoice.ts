/**
 * @module Explains which endpoint `chooseEndpoint` takes, without drawing a random number.
 */
import {
    type EndpointView,
    isPaced,
    listTied,
    type PlacementRequest,
    type ScoredEndpoint,
    estimateEndpoints,
    type ServiceSpeed,
    TIE_RANGE_MS,
} from "./chooseEndpoint";
import { type PacedDraw, preparePacedDraw } from "./drawPacedEndpoint";
import { USUAL_PACE } from "./endpointPace";

/** How one of the candidates is taken. The values appear in answers to operators. */
export enum ChoiceRule {
    /** There is no candidate. */
    Nothing = "nothing",
    /** Only one candidate has a chance. */
    Only = "only",
    /** The lowest estimates count as equal; each of these has the same chance. */
    Tied = "tied",
    /** One is drawn by weight. */
    DrawnByWeight = "drawn_by_weight",
    /** Two are drawn by weight, and the one with the lower pace is taken. */
    TwoDrawnByWeight = "two_drawn_by_weight",
}

/** A candidate with its chance. */
export interface ExplainedEndpoint extends ScoredEndpoint {
    /** Probability from 0 to 1 that it is taken. */
    readonly chance: number;
}

/** How a choice is made. */
export interface ExplainedChoice {
    readonly rule: ChoiceRule;
    /** All candidates, in the order in which they were given. */
    readonly endpoints: readonly ExplainedEndpoint[];
}

/**
 * Explains a choice, by the same estimates, ties and weights as `chooseEndpoint`.
 *
 * @param views - The candidates
 * @param request - The request
 * @param speed - The measured speed of the service
 * @returns The rule, and each candidate with its estimate and chance
 * @example
 * explainChoice(views, request, speed).endpoints[0]?.chance; //=> 0.5
 */
export function explainChoice(
    views: readonly EndpointView[],
    request: PlacementRequest,
    speed: ServiceSpeed,
): ExplainedChoice {
    const scored = estimateEndpoints(views, request, speed);
    const draw = isPaced(scored) ? preparePacedDraw(scored, TIE_RANGE_MS) : undefined;
    const chances = draw === undefined ? listTiedChances(listTied(scored)) : listDrawnChances(draw);
    const endpoints = scored.map(endpoint => ({ ...endpoint, chance: chances.get(endpoint.view.id) ?? 0 }));
    const open = endpoints.filter(({ chance }) => chance > 0).length;
    return { rule: open > 1 ? describeRule(draw) : open === 1 ? ChoiceRule.Only : ChoiceRule.Nothing, endpoints };
}

function describeRule(draw: PacedDraw | undefined): ChoiceRule {
    if (draw === undefined) {
        return ChoiceRule.Tied;
    }
    return draw.isCompared ? ChoiceRule.TwoDrawnByWeight : ChoiceRule.DrawnByWeight;
}

function listTiedChances(tied: readonly ScoredEndpoint[]): ReadonlyMap<string, number> {
    return new Map(tied.map(({ view }) => [view.id, 1 / tied.length]));
}

/** Lists the chances of a draw. */
function listDrawnChances({ alike, weights, isCompared }: PacedDraw): ReadonlyMap<string, number> {
    const total = weights.reduce((sum, weight) => sum + weight, 0);
    const drawn = alike.map(({ view }, index) => ({
        id: view.id,
        pace: view.pace ?? USUAL_PACE,
        chance: (weights[index] ?? 0) / total,
    }));
    return new Map((isCompared ? listComparedChances(drawn) : drawn).map(({ id, chance }) => [id, chance]));
}

interface DrawnEndpoint {
    readonly id: string;
    readonly pace: number;
    /** Probability from 0 to 1 that one draw finds it. */
    readonly chance: number;
}

/**
 * Lists the chances to be taken after two draws, by the rule of `chooseFaster`: an endpoint is taken if the first draw
 * finds it and the second none that is faster, or if the second finds it and the first a slower one. Sorted, since going
 * through all pairs took 0.8 s for 6,500 endpoints.
 */
function listComparedChances(drawn: readonly DrawnEndpoint[]): readonly DrawnEndpoint[] {
    const chanceByPace = new Map<number, number>();
    drawn.forEach(({ pace, chance }) => chanceByPace.set(pace, (chanceByPace.get(pace) ?? 0) + chance));
    const slowerByPace = new Map<number, number>();
    let slower = 0;
    for (const [pace, chance] of [...chanceByPace].sort(([left], [right]) => right - left)) {
        slowerByPace.set(pace, slower);
        slower += chance;
    }
    return drawn.map(({ id, pace, chance }) => ({
        id,
        pace,
        chance: chance * ((chanceByPace.get(pace) ?? 0) + 2 * (slowerByPace.get(pace) ?? 0)),
    }));
}
