/**
 * @module The HTTP server under every stand-in: routes, fault switches and silent connections.
 */
import http from "node:http";
import type { AddressInfo, Socket } from "node:net";
import type { Clock } from "../../base/clock";
import { createSystemClock } from "../../base/createSystemClock";
import type { Disposable } from "../../base/disposableStore";
import { KEEP_ALIVE_MS, LOOPBACK_ADDRESS } from "../constants";
import { type FaultFacts, FaultKind, type FaultRule, type FaultSwitches } from "../fault";
import { createFaultGate, type FaultGate } from "./createFaultGate";
import { handleControlCall } from "./handleControlCall";
import { readCall } from "./readCall";
import { runCall } from "./runCall";
import { setSocketSilent } from "./setSocketSilent";
import type { StandinRoute } from "./standinCall";

/** What every stand-in can be given. */
export interface StandinOptions {
    /** Port to listen on (default: chosen by the system). */
    readonly port?: number;
    /** Port of the control route that stays reachable while the stand-in is down (default: chosen by the system). */
    readonly controlPort?: number;
    /** Seed of everything random (default 1). */
    readonly seed?: number;
    readonly clock?: Clock;
}

/** A running stand-in server. */
export interface StandinServer extends FaultSwitches, Disposable {
    readonly address: string;
    readonly port: number;
    readonly controlPort: number;
    readonly clock: Clock;
    readonly gate: FaultGate;
    /** Open connections to the stand-in. */
    countConnections(): number;
    /** Resets all connections and closes the listener for so long. */
    crash(downMs: number): void;
}

/** How a stand-in builds its server. */
export interface StandinServerOptions extends StandinOptions {
    readonly routes: readonly StandinRoute[];
    /** Facts that rules are held against, besides the route. */
    readonly readFacts?: () => FaultFacts;
    /** Called after the rules were replaced. */
    readonly handleRules?: (rules: readonly FaultRule[]) => void;
}

/**
 * Starts a stand-in server on loopback.
 *
 * @param options - Routes, ports, seed and clock
 * @returns The server, listening
 * @example
 * const server = await startStandinServer({ routes: [{ path: "/", handle: () => ({ status: 200 }) }] });
 */
export async function startStandinServer(options: StandinServerOptions): Promise<StandinServer> {
    const clock = options.clock ?? createSystemClock();
    const gate = createFaultGate({ clock, seed: options.seed ?? 1 });
    const sockets = new Set<Socket>();
    const silent = new WeakSet<Socket>();
    const replies = {};
    const readFacts = (route: string): FaultFacts => ({ ...options.readFacts?.(), route });

    const main = createServer(sockets, (request, response) => {
        void readCall(request, response, silent).then(call =>
            call === undefined
                ? undefined
                : call.path === "/faults"
                  ? handleControlCall(call, gate, setFaults)
                  : runCall(call, { gate, clock, routes: options.routes, readFacts, replies }),
        );
    });
    const control = createServer(new Set(), (request, response) => {
        void readCall(request, response, silent).then(call => call && handleControlCall(call, gate, setFaults));
    });
    await openListener(main, options.port ?? 0);
    await openListener(control, options.controlPort ?? 0);
    const { port } = main.address() as AddressInfo;
    const { port: controlPort } = control.address() as AddressInfo;

    let isDisposed = false;
    function setFaults(rules: readonly FaultRule[]): void {
        gate.setRules(rules);
        if (rules.some(rule => rule.kind === FaultKind.ConnectionsSilent)) {
            sockets.forEach(socket => setSocketSilent(socket, silent));
        }
        applyListening(rules.some(rule => rule.kind === FaultKind.Down));
        options.handleRules?.(rules);
    }
    function applyListening(isDown: boolean): void {
        if (isDown && main.listening) {
            main.close();
            sockets.forEach(socket => socket.resetAndDestroy());
        } else if (!isDown && !main.listening && !isDisposed) {
            main.listen(port, LOOPBACK_ADDRESS);
        }
    }
    return {
        address: LOOPBACK_ADDRESS,
        port,
        controlPort,
        clock,
        gate,
        countConnections: () => sockets.size,
        setFaults,
        crash: downMs => {
            applyListening(true);
            const hasDownRule = () => gate.readRules().some(rule => rule.kind === FaultKind.Down);
            void clock.waitMs(downMs).then(() => applyListening(hasDownRule()));
        },
        dispose: () => {
            isDisposed = true;
            main.close();
            control.close();
            control.closeAllConnections();
            sockets.forEach(socket => socket.destroy());
        },
    };
}

function createServer(sockets: Set<Socket>, listener: http.RequestListener): http.Server {
    const server = http.createServer({ keepAliveTimeout: KEEP_ALIVE_MS, requestTimeout: 0 }, listener);
    server.on("connection", (socket: Socket) => {
        sockets.add(socket);
        socket.setNoDelay(true);
        socket.on("error", () => undefined);
        socket.on("close", () => sockets.delete(socket));
    });
    return server;
}

function openListener(server: http.Server, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, LOOPBACK_ADDRESS, () => {
            server.off("error", reject);
            server.on("error", () => undefined);
            resolve();
        });
    });
}
