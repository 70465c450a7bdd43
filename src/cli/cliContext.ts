/**
 * @module What the command line needs from outside.
 */
import type { Clock } from "../base/clock";
import type { DevOptions } from "../dev/runDev";
import type { Environment } from "../settings/collectSettingTexts";
import type { Settings } from "../settings/settings";

/** The outside of the command line; tests replace it. */
export interface CliContext {
    readonly environment: Environment;
    readonly clock: Clock;
    readonly programVersion: string;
    /** Writes one or more whole lines to the standard output. */
    readonly write: (text: string) => void;
    /** Writes one or more whole lines to the standard error stream. */
    readonly writeError: (text: string) => void;
    /** Reads a file as text; throws if it can't be read. */
    readonly readFile: (file: string) => string;
    readonly createRandomBytes: (count: number) => Buffer;
    /** The programs that run until they are told to end; each gives its exit code. */
    readonly runServe: (settings: Settings) => Promise<number>;
    readonly runDev: (options: DevOptions) => Promise<number>;
}
