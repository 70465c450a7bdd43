/**
 * @module The single lease under which a node holds all of its jobs, so that renewals cost one write per node and not
 * one per job.
 */
import type { Clock } from "../../../base/clock";
import type { Random } from "../../../base/createRandom";
import type { LeaseClient, LeaseHandle } from "../../leases/leaseClient";
import { LEASE_IDLE_TIMEOUT_MS, JOB_LEASE_MS } from "../constants";
import { createUniqueId } from "./createUniqueId";
import { buildLeaseName } from "./buildLeaseName";

/** The lease of a node. */
export interface NodeLease {
    /**
     * Returns the lease's name while the lease is held, and "" otherwise. Call it immediately before each side effect.
     */
    readHolder(): string;
    /** Tries to acquire the lease unless it is held. Also resolves if the attempt failed: check with `readHolder`. */
    ensureHeld(): Promise<void>;
    /** Releases the lease once the node has had no jobs for `LEASE_IDLE_TIMEOUT_MS`. */
    releaseIfIdle(hasJobs: boolean): void;
    /** Releases the lease if it is held. */
    release(): Promise<void>;
}

/**
 * Creates the lease of a node. It is acquired only when first needed.
 *
 * @param options - Node id, lease client, clock and random number generator
 * @returns The lease
 * @example
 * const lease = createNodeLease({ nodeId, leases, clock, random });
 */
export function createNodeLease(options: {
    readonly nodeId: string;
    readonly leases: LeaseClient;
    readonly clock: Clock;
    readonly random: Random;
}): NodeLease {
    const name = buildLeaseName(options.nodeId, createUniqueId(options));
    let handle: LeaseHandle | undefined;
    let acquiring: Promise<void> | undefined;
    let lastUsedAtMs = options.clock.readMonotonicMs();
    const isHeld = () => handle?.checkHeld().isOk() ?? false;
    const acquire = async () => {
        const acquired = await options.leases.acquireLease(name, { durationMs: JOB_LEASE_MS });
        handle = acquired.isOk() ? acquired.value : undefined;
        acquiring = undefined;
    };
    const release = async () => {
        const released = handle;
        handle = undefined;
        await released?.release();
    };
    return {
        readHolder: () => (isHeld() ? name : ""),
        ensureHeld: async () => {
            lastUsedAtMs = options.clock.readMonotonicMs();
            if (!isHeld()) {
                acquiring ??= acquire();
                await acquiring;
            }
        },
        releaseIfIdle: hasJobs => {
            const nowMs = options.clock.readMonotonicMs();
            if (hasJobs) {
                lastUsedAtMs = nowMs;
            } else if (handle !== undefined && nowMs - lastUsedAtMs > LEASE_IDLE_TIMEOUT_MS) {
                void release();
            }
        },
        release,
    };
}
