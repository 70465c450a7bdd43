/**
 * @module A whole outside world on loopback, as `redwinglift dev` and tests use it.
 */
import type { Disposable } from "../base/disposableStore";
import type { ApplicationRunnerStandin } from "../standins/createApplicationRunnerStandin";
import type { ModelRunnerStandin } from "../standins/createModelRunnerStandin";
import type { PlatformStandin } from "../standins/createPlatformStandin";

/** The running stand-ins. */
export interface EmbeddedPlatform extends Disposable {
    readonly platform: PlatformStandin;
    /** By VM id. */
    readonly modelRunners: ReadonlyMap<string, ModelRunnerStandin>;
    /** By VM id. */
    readonly applicationRunners: ReadonlyMap<string, ApplicationRunnerStandin>;
    /** URL of the platform's services. */
    readonly platformUrl: string;
    /** Starts a further model runner and lists it; gives its VM id. */
    addModelRunner(version: string): Promise<string>;
    /** Ends a model runner as if its VM had died; it stays listed until the list catches up. */
    killModelRunner(vmId: string): void;
}
