/**
 * @module The declared capacity of machine classes.
 */
import { err, ok, type Result } from "neverthrow";
import { parse } from "yaml";
import { z } from "zod";
import { createFailure } from "../../base/createFailure";
import { type Failure, FailureKind } from "../../base/failure";

const positive = z.number("must be a number").positive("must be above 0");
const notNegative = z.number("must be a number").min(0, "must not be negative");

const level = z.strictObject({ unitsPerSecond: positive, latencyMs: notNegative, tokenGapMs: notNegative });

const schema = z.strictObject({
    /** Starts of model runners and orders to load that may be under way at once. */
    weightLoads: z.int("must be a whole number").min(1, "must be at least 1").default(8),
    /** Time for requests in progress to end before a VM is stopped or loads another version. */
    drainMs: z.int("must be a whole number").min(0, "must not be negative").default(180_000),
    services: z.record(
        z.string(),
        z.strictObject({
            /** Classes of work that use the service; absent: all classes. */
            classes: z.array(z.string()).optional(),
            machineClasses: z.record(z.string(), z.array(level).min(1, "must have a level")),
        }),
    ),
});

/** What machine classes carry, by service. */
export type FleetCapacity = z.infer<typeof schema>;

/**
 * Parses the file that declares what each machine class carries of each service.
 *
 * @param text - YAML or JSON
 * @returns The capacity; failure: `InvalidSettings`, its `details.problems` name each fault
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
    return createFailure(FailureKind.InvalidSettings, "The fleet's capacity file is not valid.", {
        details: { problems },
    });
}
