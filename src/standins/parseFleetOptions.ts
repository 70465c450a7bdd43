/**
 * @module Reads the flags of the stand-ins' command.
 */
import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import { createFailure } from "../base/createFailure";
import { type Failure, FailureKind } from "../base/failure";
import { VmRole } from "../model/endpoint";
import type { FleetVm, StandinFleetOptions } from "./createStandinFleet";

const HIGHEST_PORT = 65_535;
const port = z.coerce.number().int().min(0).max(HIGHEST_PORT);
const ports = z.preprocess(
    value =>
        String(value)
            .split(",")
            .filter(text => text !== ""),
    z.array(port),
);
const failureDomains = z.preprocess(value => String(value).split(","), z.array(z.string().regex(/^[^/]+\/[^/]+$/)));
const positive = z.coerce.number().positive();
const flagsSchema = z.object({
    platformPort: port,
    controlPort: port,
    modelRunners: ports,
    applicationRunners: ports,
    failureDomains,
    modelService: z.string(),
    applicationService: z.string(),
    serviceVersion: z.coerce.string(),
    machineClass: z.string(),
    tokenGapMs: positive,
    prefillTokensPerSecond: positive,
    maximumRunning: z.coerce.number().int().positive(),
    latencyMs: z.coerce.number().nonnegative(),
    vmListLagMs: z.coerce.number().nonnegative(),
    ignoreFencing: z.boolean().default(false),
    seed: z.coerce.number().int(),
});

/**
 * Parses the flags.
 *
 * @param flags - Flags by their camel-case names
 * @returns The fleet to start, or all that is wrong, one line each
 * @example
 * parseFleetOptions({ platformPort: 7000, modelRunners: "7101,7102", ... });
 */
export function parseFleetOptions(flags: Readonly<Record<string, unknown>>): Result<StandinFleetOptions, Failure> {
    const parsed = flagsSchema.safeParse(flags);
    if (!parsed.success) {
        return err(createFailure(FailureKind.InvalidSettings, z.prettifyError(parsed.error)));
    }
    const value = parsed.data;
    const placeVms = (role: VmRole, serviceName: string, runnerPorts: readonly number[]): readonly FleetVm[] =>
        runnerPorts.map((runnerPort, index) => {
            const [region = "", failureDomain = ""] = (
                value.failureDomains[index % value.failureDomains.length] ?? ""
            ).split("/");
            const { machineClass, serviceVersion: version } = value;
            const place = { region, failureDomain, machineClass, isReclaimable: index % 2 === 0 };
            return { ...place, role, serviceName, version, port: runnerPort };
        });
    return ok({
        vms: [
            ...placeVms(VmRole.ModelRunner, value.modelService, value.modelRunners),
            ...placeVms(VmRole.ApplicationRunner, value.applicationService, value.applicationRunners),
        ],
        platform: { port: value.platformPort, controlPort: value.controlPort, vmListLagMs: value.vmListLagMs },
        modelRunner: {
            checksFencing: !value.ignoreFencing,
            engine: {
                tokenGapMs: value.tokenGapMs,
                prefillTokensPerSecond: value.prefillTokensPerSecond,
                maximumRunning: value.maximumRunning,
            },
        },
        applicationRunner: { latencyMs: value.latencyMs },
        seed: value.seed,
    });
}
