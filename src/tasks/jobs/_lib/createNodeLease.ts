/**
 * @module The one lease under which a node holds all of its jobs. Renewals cost one write a node, not one a job.
 */
import type { Clock } from "../../../base/clock";
import type { Random } from "../../../base/createRandom";
import type { LeaseClient, LeaseHandle } from "../../leases/leaseClient";
import { IDLE_LEASE_MS, JOB_LEASE_MS } from "../constants";
import { createUniqueId } from "./createUniqueId";
import { buildLeaseName } from "./buildLeaseName";

/** Handle of the node's lease. */
export interface NodeLease {
    /** The lease's name while it is held, else empty. Ask right before each effect. */
    readHolder(): string;
    /** Acquires the lease if it is not held; resolves once that is known. */
    ensureHeld(): Promise<void>;
    /** Releases the lease once the node has been without jobs for a while. */
    releaseIfIdle(hasJobs: boolean): void;
    release(): Promise<void>;
}

/**
 * Creates the handle of the node's lease, which is acquired when first needed.
 *
 * @param options - The node and the lease client
 * @returns The handle
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
            } else if (handle !== undefined && nowMs - lastUsedAtMs > IDLE_LEASE_MS) {
                void release();
            }
        },
        release,
    };
}
