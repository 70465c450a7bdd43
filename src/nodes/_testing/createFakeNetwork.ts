/**
 * @module A network in memory for tests and measurements: delays, losses, pauses and partitions, on a manual clock.
 */
import { err, ok, type Result } from "neverthrow";
import type { Clock } from "../../base/clock";
import { createFailure } from "../../base/createFailure";
import type { ManualClock } from "../../base/createManualClock";
import type { Random } from "../../base/createRandom";
import { type Failure, FailureKind } from "../../base/failure";
import { createTrafficCounter } from "../_lib/createTrafficCounter";
import { type CallHandler, type NodeAddress, type NodeTransport } from "../nodeTransport";

/** How the network treats a message from one place to another. */
export interface FakeNetworkOptions {
    readonly clock: ManualClock;
    readonly random: Random;
    /** One-way delay in milliseconds. */
    readonly delayMs: (from: string, to: string) => number;
}

/** One node's place in the network. */
export interface FakeHost {
    readonly transport: NodeTransport;
    /** Stands still while the host is paused, then wakes all that has come due. */
    readonly clock: Clock;
    readonly address: NodeAddress;
}

/** The network. Names of hosts are their ids. */
export interface FakeNetwork {
    addHost(name: string): FakeHost;
    /** Takes the host off the network for good, as when its VM is gone. */
    removeHost(name: string): void;
    pauseHost(name: string): void;
    resumeHost(name: string): void;
    /** Share of messages lost, 0 to 1. */
    setLoss(share: number): void;
    /** Drops every message for which `isCut` is true. */
    setPartition(isCut: (from: string, to: string) => boolean): void;
    /** Kills connections opened so far between two hosts, while new ones work. */
    silenceLink(from: string, to: string): void;
}

interface Host extends FakeHost {
    readonly name: string;
    handler: CallHandler | undefined;
    isRemoved: boolean;
    resumed: Promise<void> | undefined;
    resume: () => void;
    readonly silentLinks: Set<string>;
}

/** Creates a network without hosts. */
export function createFakeNetwork(options: FakeNetworkOptions): FakeNetwork {
    const { clock, random } = options;
    const hosts = new Map<string, Host>();
    let lossShare = 0;
    let nextPort = 1;
    let isCut: (from: string, to: string) => boolean = () => false;

    /** Carries a message; false if it does not arrive. */
    const carry = async (from: Host, to: Host): Promise<boolean> => {
        await clock.waitMs(options.delayMs(from.name, to.name));
        if (from.isRemoved || to.isRemoved || isCut(from.name, to.name) || random.drawFraction() < lossShare) {
            return false;
        }
        await to.resumed;
        return true;
    };
    const createHost = (name: string): Host => {
        const counter = createTrafficCounter();
        const port = nextPort++;
        const findHost = (target: NodeAddress) => [...hosts.values()].find(host => host.address.port === target.port);
        const transport: NodeTransport = {
            callNode: (target, call, body, { timeoutMs, isNewConnection }) => {
                const to = findHost(target);
                const silent = createFailure(FailureKind.EndpointSilent, "no answer");
                const timeout = clock.waitMs(timeoutMs).then((): Result<Uint8Array, Failure> => err(silent));
                counter.addCall(call);
                counter.addSent(body.length);
                if (isNewConnection) {
                    counter.addConnection();
                }
                const isDead = to !== undefined && !isNewConnection && host.silentLinks.has(to.name);
                if (to === undefined || isDead) {
                    return timeout.then(result => {
                        host.silentLinks.delete(to?.name ?? "");
                        return result;
                    });
                }
                const answer = async (): Promise<Result<Uint8Array, Failure>> => {
                    if (!(await carry(host, to)) || to.handler === undefined) {
                        return timeout;
                    }
                    const reply = await to.handler(call, body);
                    if (!(await carry(to, host))) {
                        return timeout;
                    }
                    counter.addReceived(reply.length);
                    return ok(reply);
                };
                return Promise.race([answer().catch(() => timeout), timeout]);
            },
            setCallHandler: handler => {
                host.handler = (call, body) => {
                    counter.addReceived(body.length);
                    return handler(call, body).then(reply => {
                        counter.addSent(reply.length);
                        return reply;
                    });
                };
            },
            countTraffic: counter.readCount,
            dispose: () => {
                host.handler = undefined;
            },
        };
        const host: Host = {
            name,
            transport,
            address: { address: "10.0.0.1", port },
            clock: {
                readMonotonicMs: clock.readMonotonicMs,
                readWallMs: clock.readWallMs,
                waitMs: async delayMs => {
                    await clock.waitMs(delayMs);
                    await host.resumed;
                },
            },
            handler: undefined,
            isRemoved: false,
            resumed: undefined,
            resume: () => undefined,
            silentLinks: new Set(),
        };
        return host;
    };
    return {
        addHost: name => {
            const host = createHost(name);
            hosts.set(name, host);
            return host;
        },
        removeHost: name => {
            const host = hosts.get(name);
            if (host !== undefined) {
                host.isRemoved = true;
            }
        },
        pauseHost: name => {
            const host = hosts.get(name);
            if (host !== undefined) {
                host.resumed = new Promise(resolve => {
                    host.resume = resolve;
                });
            }
        },
        resumeHost: name => {
            const host = hosts.get(name);
            host?.resume();
            if (host !== undefined) {
                host.resumed = undefined;
            }
        },
        setLoss: share => {
            lossShare = share;
        },
        setPartition: next => {
            isCut = next;
        },
        silenceLink: (from, to) => void hosts.get(from)?.silentLinks.add(to),
    };
}
