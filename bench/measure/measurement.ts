/**
 * @module Everything that was measured for one deployment.
 */
import type { Measures } from "./computeScore";
import type { Deployment } from "./deployments";
import type { MoveFigures } from "./measureMoves";
import type { ServingRun } from "./measureServing";
import type { WaveFigures } from "./measureWaves";

/** The four measures and the score of one policy. */
export interface ScoredPolicy extends Measures {
    readonly policy: string;
    readonly score: number;
    /** The score without version outcomes, which the baselines have by definition and not by measurement. */
    readonly servingScore: number;
    /** Share of admitted requests inside their target, the worst of the loads that the cluster can bear. */
    readonly worstInsideTarget: number;
    /** Share of arrived requests that were admitted, over the same loads. */
    readonly admittedShare: number;
}

/** The figures of one deployment. */
export interface Measurement {
    readonly deployment: Deployment;
    readonly serving: readonly ServingRun[];
    readonly waves: readonly WaveFigures[];
    readonly moves: readonly MoveFigures[];
    readonly policies: readonly ScoredPolicy[];
}
