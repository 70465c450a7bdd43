/**
 * @module Evidence for comparing the old and the new version of a service.
 *
 * Evidence is kept in cells. A cell is one combination of route and load level, so that the two versions are compared
 * under the same conditions. A trial is one attempt judged by one measure; it is good or bad.
 */
import type { Histogram } from "hdr-histogram-js";

/** How busy an endpoint was when an attempt was sent to it. */
export enum LoadLevel {
    Low = "low",
    Middle = "middle",
    High = "high",
}

/** Measures by which versions are compared. */
export enum Measure {
    /** Whether the attempt failed. */
    Failures = "failures",
    /** Whether the first token was slow. */
    FirstToken = "first_token",
    /** Whether the gaps between tokens were slow. */
    TokenGap = "token_gap",
}

/** Number of trials and of bad ones among them. Only grows, so the larger of two counts is the newer one. */
export interface TrialCount {
    readonly trials: number;
    readonly bad: number;
}

/** Trial counts of one version in one cell, by measure. */
export type MeasureCounts = Readonly<Record<Measure, TrialCount>>;

/** A node's counts in one cell, as sent to other nodes. */
export interface CellCounts {
    readonly route: string;
    readonly loadLevel: LoadLevel;
    /** Counts of the old version. */
    readonly old: MeasureCounts;
    /** Counts of the new version. */
    readonly next: MeasureCounts;
}

/** Scores of the sequential tests of one measure, one for each alternative rate. */
export type TestScores = readonly number[];

/** One cell of a node's own evidence. Owned and modified by the version task; the histograms are modified in place. */
export interface EvidenceCell {
    counts: CellCounts;
    scores: Readonly<Record<Measure, TestScores>>;
    /** Times to first token of the old version, in milliseconds. */
    readonly firstTokenTimes: ReferenceTimes;
    /** Token gaps of the old version, in hundredths of a millisecond. */
    readonly tokenGapTimes: ReferenceTimes;
}

/** Distribution of times of the old version. Modified in place. */
export interface ReferenceTimes {
    readonly histogram: Histogram;
    /** The percentile that defines slow answers, as of its latest update. */
    percentileValue: number;
    /** Number of recorded times at that update; 0 before the first. */
    countAtRefresh: number;
}

/** When an answer is slow: beyond this multiple of the old version's percentile. */
export interface SlowRule {
    readonly percentile: number;
    readonly factor: number;
}

/** A node's evidence about one version move. Owned and modified by the version task. */
export interface MoveEvidence {
    readonly moveName: string;
    readonly oldVersion: string;
    readonly newVersion: string;
    /** When a first token is slow. */
    readonly firstTokenRule: SlowRule;
    /** Own evidence, by cell key. */
    readonly cells: Map<string, EvidenceCell>;
    /** Latest counts of other nodes, by node id. */
    readonly peerCounts: Map<string, readonly CellCounts[]>;
    /** Scores of the sequential tests over the counts of all nodes, by cell key. */
    readonly pooledScores: Map<string, Readonly<Record<Measure, TestScores>>>;
    /** Counts of all nodes that `pooledScores` already includes, by cell key. */
    readonly pooledCounts: Map<string, MeasureCounts>;
}

/** An alarm raised by a sequential test. */
export interface VersionAlarm {
    readonly measure: Measure;
    readonly route: string;
    readonly loadLevel: LoadLevel;
    /** Rate of bad trials of the new version. */
    readonly observedRate: number;
    /** Rate of bad trials that was allowed. */
    readonly allowedRate: number;
    /** Trials of the new version in the cell. */
    readonly trials: number;
    /** True if the combined counts of all nodes raised the alarm. */
    readonly isPooled: boolean;
}

/** Observation of a finished or failed attempt. Absent fields were not observed. */
export interface VersionObservation {
    readonly version: string;
    readonly route: string;
    readonly loadLevel: LoadLevel;
    readonly isFailure: boolean;
    readonly firstTokenMs?: number;
    readonly tokenGapMs?: number;
}
