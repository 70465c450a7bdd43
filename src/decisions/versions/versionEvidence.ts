/**
 * @module Evidence about an old and a new version of a service, by route and load level.
 */
import type { Histogram } from "hdr-histogram-js";

/** How busy an endpoint was when an attempt was sent to it. */
export enum LoadLevel {
    Low = "low",
    Middle = "middle",
    High = "high",
}

/** What is compared. */
export enum Measure {
    Failures = "failures",
    FirstToken = "first_token",
    TokenGap = "token_gap",
}

/** Trials and bad ones among them. Only grows, so that the newer of two counts is the larger one. */
export interface TrialCount {
    readonly trials: number;
    readonly bad: number;
}

/** Counts of one version in one cell, by measure. */
export type MeasureCounts = Readonly<Record<Measure, TrialCount>>;

/** Counts of a node in one cell, as told to other nodes. */
export interface CellCounts {
    readonly route: string;
    readonly loadLevel: LoadLevel;
    readonly old: MeasureCounts;
    readonly next: MeasureCounts;
}

/** Scores of the sequential tests of one measure, one for each alternative. */
export type TestScores = readonly number[];

/** One cell as a node keeps it. Owned and changed by the version task; the histograms are changed in place. */
export interface EvidenceCell {
    counts: CellCounts;
    scores: Readonly<Record<Measure, TestScores>>;
    /** First tokens of the old version, in milliseconds. */
    readonly firstTokenTimes: ReferenceTimes;
    /** Token gaps of the old version, in hundredths of a millisecond. */
    readonly tokenGapTimes: ReferenceTimes;
}

/** Times of the old version. Changed in place. */
export interface ReferenceTimes {
    readonly histogram: Histogram;
    /** The percentile that slowness is measured from, as of the newest look. */
    percentileValue: number;
    /** Recorded times at that look; 0 before the first. */
    countAtRefresh: number;
}

/** What a node knows of one move. Owned and changed by the version task. */
export interface MoveEvidence {
    readonly moveName: string;
    readonly oldVersion: string;
    readonly newVersion: string;
    /** By route and load level. */
    readonly cells: Map<string, EvidenceCell>;
    /** Newest counts of other nodes, by node id. */
    readonly peerCounts: Map<string, readonly CellCounts[]>;
    /** Scores of the tests over all nodes' counts, by cell. */
    readonly pooledScores: Map<string, Readonly<Record<Measure, TestScores>>>;
    /** Counts over all nodes that `pooledScores` has taken in, by cell. */
    readonly pooledCounts: Map<string, MeasureCounts>;
}

/** An alarm of a sequential test. */
export interface VersionAlarm {
    readonly measure: Measure;
    readonly route: string;
    readonly loadLevel: LoadLevel;
    /** Rate of the new version and rate that was allowed. */
    readonly observedRate: number;
    readonly allowedRate: number;
    /** Trials of the new version in the cell. */
    readonly trials: number;
    /** True if the counts of all nodes together raised it. */
    readonly isPooled: boolean;
}

/** One observation of a finished or failed attempt. Absent fields were not observed. */
export interface VersionObservation {
    readonly version: string;
    readonly route: string;
    readonly loadLevel: LoadLevel;
    readonly isFailure: boolean;
    readonly firstTokenMs?: number;
    readonly tokenGapMs?: number;
}
