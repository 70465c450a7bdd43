/**
 * @module The deployments that the embedded platform can imitate.
 */
import { type Account, ServiceKind, type Service, type WorkClass } from "../model/configuration";
import type { Placement } from "../model/endpoint";

/** A deployment to imitate. */
export enum PresetName {
    /** Two runners in one failure domain, for a first look. */
    Small = "small",
    Derwent = "derwent",
    Latexboek = "latexboek",
}

/** Sizes, places and configuration of a deployment. */
export interface DeploymentPreset {
    readonly placements: readonly Placement[];
    readonly modelRunnerCount: number;
    readonly applicationRunnerCount: number;
    readonly nodeCount: number;
    readonly classes: readonly WorkClass[];
    readonly accounts: readonly Pick<Account, "name" | "defaultClass">[];
    readonly modelService: Service;
    readonly applicationService: Service;
}

const MINUTE_MS = 60_000;
const HOUR_MS = 3_600_000;

const QUESTION: WorkClass = {
    name: "question",
    latencyTargetMs: 1_200,
    tokenGapTargetMs: 28,
    deadlineMs: 2 * MINUTE_MS,
    costCeilingMicros: 20_000,
    isIdempotent: true,
};
const POSTING: WorkClass = { ...QUESTION, name: "posting", latencyTargetMs: 2_000, isIdempotent: false };

const DERWENT: DeploymentPreset = {
    placements: ["hobart", "launceston", "burnie"].map(name => ({ region: name, failureDomain: name })),
    modelRunnerCount: 6,
    applicationRunnerCount: 3,
    nodeCount: 7,
    classes: [
        QUESTION,
        { ...QUESTION, name: "digest", latencyTargetMs: 10_000, tokenGapTargetMs: 100, deadlineMs: 10 * MINUTE_MS },
        { ...POSTING, name: "acknowledgement" },
    ],
    accounts: ["north-crews", "south-crews", "depots", "contact-centre", "control-room"].map(createAccount),
    modelService: { name: "assistant", kind: ServiceKind.Model, version: "v1" },
    applicationService: { name: "register", kind: ServiceKind.Application, version: "v1" },
};

const LATEXBOEK: DeploymentPreset = {
    placements: ["eu-west", "eu-central", "eu-north"].map(name => ({ region: name, failureDomain: name })),
    modelRunnerCount: 13,
    applicationRunnerCount: 3,
    nodeCount: 7,
    classes: [
        QUESTION,
        { ...QUESTION, name: "reconciliation", latencyTargetMs: 30_000, tokenGapTargetMs: 200, deadlineMs: HOUR_MS },
        POSTING,
    ],
    accounts: ["cooperative-a", "cooperative-b", "estate-one", "estate-two", "ledger-office"].map(createAccount),
    modelService: { name: "assistant", kind: ServiceKind.Model, version: "v1" },
    applicationService: { name: "payouts", kind: ServiceKind.Application, version: "v1" },
};

const SMALL: DeploymentPreset = {
    ...DERWENT,
    placements: [{ region: "hobart", failureDomain: "hobart" }],
    modelRunnerCount: 2,
    applicationRunnerCount: 1,
    nodeCount: 3,
    classes: [QUESTION, POSTING],
    accounts: [createAccount("demo")],
};

/** The presets by name. */
export const DEPLOYMENT_PRESETS: Readonly<Record<PresetName, DeploymentPreset>> = {
    [PresetName.Small]: SMALL,
    [PresetName.Derwent]: DERWENT,
    [PresetName.Latexboek]: LATEXBOEK,
};

function createAccount(name: string): Pick<Account, "name" | "defaultClass"> {
    return { name, defaultClass: QUESTION.name };
}
