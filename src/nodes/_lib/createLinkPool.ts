/**
 * @module Open links to other nodes.
 */
import { Client, credentials, type ChannelCredentials, type ChannelOptions } from "@grpc/grpc-js";
import type { Clock } from "../../base/clock";
import type { Disposable } from "../../base/disposableStore";
import type { TlsWatcher } from "../createTlsWatcher";
import type { NodeAddress } from "../nodeTransport";
import {
    KEEPALIVE_PERIOD_MS,
    KEEPALIVE_TIMEOUT_MS,
    LINK_IDLE_MS,
    MESSAGE_MAX_BYTES,
    NODE_CERTIFICATE_NAME,
} from "./constants";

/** Options of every channel: one address, picked first, and nothing of the library's discovery, proxies or retries. */
const CHANNEL_OPTIONS: ChannelOptions = {
    "grpc.use_local_subchannel_pool": 1,
    "grpc.service_config_disable_resolution": 1,
    "grpc.service_config": JSON.stringify({ loadBalancingConfig: [{ pick_first: {} }] }),
    "grpc.enable_retries": 0,
    "grpc.enable_http_proxy": 0,
    "grpc.enable_channelz": 0,
    "grpc.keepalive_time_ms": KEEPALIVE_PERIOD_MS,
    "grpc.keepalive_timeout_ms": KEEPALIVE_TIMEOUT_MS,
    "grpc.keepalive_permit_without_calls": 0,
    "grpc.initial_reconnect_backoff_ms": 100,
    "grpc.max_reconnect_backoff_ms": 1_000,
    "grpc.max_receive_message_length": MESSAGE_MAX_BYTES,
};

/** What the pool needs. */
export interface LinkPoolOptions {
    readonly clock: Clock;
    readonly tls: TlsWatcher | undefined;
    readonly onOpened: () => void;
}

/** Links by address. A link that proved silent is dropped, and the next call opens a new one. */
export interface LinkPool extends Disposable {
    /** Gives the open link to an address, or opens one. */
    getLink(target: NodeAddress): Client;
    /** Opens a link that is not kept; the caller closes it. */
    openSeparateLink(target: NodeAddress): Client;
    /** Closes a link after a failed call, unless it was replaced already. */
    dropLink(target: NodeAddress, link: Client): void;
}

/** Creates a pool without links. After a change of keys or certificates all links are opened anew. */
export function createLinkPool(options: LinkPoolOptions): LinkPool {
    const { clock, tls } = options;
    const links = new Map<string, { readonly client: Client; usedAtMs: number }>();
    const openLink = (target: NodeAddress) => {
        options.onOpened();
        return new Client(toTarget(target), createCredentials(tls), createChannelOptions(tls));
    };
    const closeAll = () => {
        [...links.values()].forEach(({ client }) => client.close());
        links.clear();
    };
    const closeIdle = () => {
        const oldestMs = clock.readMonotonicMs() - LINK_IDLE_MS;
        for (const [key, link] of [...links].filter(([, candidate]) => candidate.usedAtMs < oldestMs)) {
            link.client.close();
            links.delete(key);
        }
    };
    const endSubscription = tls?.subscribeChanges(closeAll);
    return {
        getLink: target => {
            closeIdle();
            const key = toTarget(target);
            const link = links.get(key) ?? { client: openLink(target), usedAtMs: 0 };
            link.usedAtMs = clock.readMonotonicMs();
            links.set(key, link);
            return link.client;
        },
        openSeparateLink: openLink,
        dropLink: (target, client) => {
            const key = toTarget(target);
            if (links.get(key)?.client === client) {
                links.delete(key);
                client.close();
            }
        },
        dispose: () => {
            endSubscription?.();
            closeAll();
        },
    };
}

function toTarget({ address, port }: NodeAddress): string {
    return address.includes(":") ? `ipv6:[${address}]:${port}` : `ipv4:${address}:${port}`;
}

function createCredentials(tls: TlsWatcher | undefined): ChannelCredentials {
    if (tls === undefined) {
        return credentials.createInsecure();
    }
    const { authorities, key, certificate } = tls.readCurrent();
    return credentials.createSsl(authorities, key, certificate);
}

function createChannelOptions(tls: TlsWatcher | undefined): ChannelOptions {
    return tls === undefined
        ? CHANNEL_OPTIONS
        : { ...CHANNEL_OPTIONS, "grpc.ssl_target_name_override": NODE_CERTIFICATE_NAME };
}
