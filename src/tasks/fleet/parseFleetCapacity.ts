/**
 * @module Parses the declared capacity of machine classes.
 */
import { err, ok, type Result } from "neverthrow";
import { parse } from "yaml";
import { z } from "zod";
import { createFailure } from "../../base/createFailure";
import { type Failure, FailureKind } from "../../base/failure";

const positive = z.number("must be a number").positive("must be above 0");
const notNegative = z.number("must be a number").min(0, "must not be negative");

const loadLevel = z.strictObject({ unitsPerSecond: positive, latencyMs: notNegative, tokenGapMs: notNegative });

const schema = z.strictObject({
    /** Most starts of model runners and loads of another version in progress at once; each reads weights. */
    weightLoads: z.int("must be a whole number").min(1, "must be at least 1").default(8),
    /** How long requests in progress may take to finish before a VM is stopped or loads another version. */
    drainMs: z.int("must be a whole number").min(0, "must not be negative").default(180_000),
    services: z.record(
        z.string(),
        z.strictObject({
            /** Request classes that use the service; if absent, all classes. */
            classes: z.array(z.string()).optional(),
            /** Load levels by machine class: at this throughput, these latencies hold. */
            machineClasses: z.record(z.string(), z.array(loadLevel).min(1, "must have at least one level")),
        }),
    ),
});

/** The declared capacity of machine classes, by service. */
export type FleetCapacity = z.infer<typeof schema>;

/**
 * Parses the file that declares the capacity of each machine class for each service.
 *
 * @param text - The file's content, YAML or JSON
 * @returns The capacity; failure: `InvalidSettings`, its `details.problems` lists every error
 * @example
 * parseFleetCapacity(fs.readFileSync(file, "utf8"));
 */
export function parseFleetCapacity(text: string): Result<FleetCapacity, Failure> {
    let value: unknown;
    try {
        value = parse(text);
    } catch (error) {
        return err(createCapacityFailure([error instanceof Error ? error.message : String(error)]));
    }
    const parsed = schema.safeParse(value);
    return parsed.success
        ? ok(parsed.data)
        : err(createCapacityFailure(parsed.error.issues.map(issue => `${issue.path.join(".")}: ${issue.message}`)));
}

function createCapacityFailure(problems: readonly string[]): Failure {
    return createFailure(FailureKind.InvalidSettings, "The fleet capacity file is invalid.", {
        details: { problems },
    });
}
