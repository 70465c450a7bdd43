/**
 * @module Shares the event loop between connections whose bodies arrive in very many pieces.
 */
import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";

/** A connection with more pieces in a turn of the event loop isn't read again before it gets a turn of its own. */
const PIECES_PER_CONNECTION = 256;
/** Connections that wait get turns together as long as their last turns had no more pieces than this in all. */
const PIECES_PER_TURN = 4_096;

/** What is held of a connection. */
export type ReadSocket = Pick<Socket, "pause" | "resume">;

/** A request or answer whose pieces are counted. */
export interface ReadMessage {
    readonly socket: ReadSocket;
    push(piece: unknown): boolean;
}

/** The turns of the event loop in which bodies are read. */
export interface ReadTurns {
    /** Counts the pieces of a message, and stops reading its connection for a turn after too many of them. */
    trackPieces(message: ReadMessage | IncomingMessage): void;
    /** Counts the connections that wait for a turn. */
    countWaiting(): number;
}

interface ConnectionState {
    /** The turn in which `pieces` were received. */
    turn: number;
    pieces: number;
    isHeld: boolean;
    /** True if the connection is to be read once it isn't held any more. */
    isWanted: boolean;
    /** Methods of the connection itself. */
    readonly pause: () => void;
    readonly resume: () => void;
}

/**
 * Creates the turns. Each connection gets at least one read in its turn, in the order in which they were stopped, and events
 * of all others are handled between two turns. Nothing is refused or delayed while no other connection waits.
 *
 * @param schedule - Calls a function after the events of the present turn of the loop
 * @returns The turns
 * @example
 * const turns = createReadTurns(setImmediate);
 * server.on("request", request => turns.trackPieces(request));
 */
export function createReadTurns(schedule: (callback: () => void) => void): ReadTurns {
    const states = new WeakMap<ReadSocket, ConnectionState>();
    const waiting: ConnectionState[] = [];
    let turn = 0;
    let isScheduled = false;

    const beginTurn = () => {
        isScheduled = false;
        turn++;
        let pieces = 0;
        let released = 0;
        for (const state of waiting) {
            pieces += state.pieces;
            if (released > 0 && pieces > PIECES_PER_TURN) {
                break;
            }
            released++;
        }
        waiting.splice(0, released).forEach(endHold);
        if (waiting.length > 0) {
            scheduleTurn();
        }
    };
    const scheduleTurn = () => {
        if (!isScheduled) {
            isScheduled = true;
            schedule(beginTurn);
        }
    };
    const countPiece = (state: ConnectionState) => {
        if (state.turn !== turn) {
            state.turn = turn;
            state.pieces = 0;
        }
        state.pieces++;
        scheduleTurn();
        if (state.pieces > PIECES_PER_CONNECTION && !state.isHeld) {
            state.isHeld = true;
            state.isWanted = true;
            waiting.push(state);
            state.pause();
        }
    };
    return {
        trackPieces: message => {
            const { socket } = message;
            const state = states.get(socket) ?? installGate(socket);
            states.set(socket, state);
            const push = message.push.bind(message);
            message.push = (piece: unknown) => {
                countPiece(state);
                return push(piece);
            };
        },
        countWaiting: () => waiting.length,
    };
}

/** Lets a connection be held: while it is, Node's calls to read it are remembered. */
function installGate(socket: ReadSocket): ConnectionState {
    const state: ConnectionState = {
        turn: -1,
        pieces: 0,
        isHeld: false,
        isWanted: false,
        pause: socket.pause.bind(socket),
        resume: socket.resume.bind(socket),
    };
    const replaceMethod = (method: "pause" | "resume", call: () => void) => {
        const replacement = () => {
            state.isWanted = method === "resume";
            if (!state.isHeld) {
                call();
            }
            return socket;
        };
        Object.defineProperty(socket, method, { value: replacement, configurable: true, writable: true });
    };
    replaceMethod("pause", state.pause);
    replaceMethod("resume", state.resume);
    return state;
}

function endHold(state: ConnectionState): void {
    state.isHeld = false;
    if (state.isWanted) {
        state.resume();
    }
}
