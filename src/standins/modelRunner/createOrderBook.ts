/**
 * @module Orders to a model runner: load a version or an adapter, change its role.
 */
import { z } from "zod";
import type { Result } from "neverthrow";
import type { Failure } from "../../base/failure";
import { RunnerOrderKind, type RunnerState } from "../../ports/modelRunner";
import type { StandinCall, StandinReply } from "../_lib/standinCall";
import { HttpStatus } from "../../adapters/_lib/httpStatus";

/** The runner's state as orders change it. */
export interface OrderBook {
    readState(): RunnerState;
    /** Handles `POST /redwinglift/orders`. The answer comes when the order is taken, not when it is carried out. */
    handleOrder(call: StandinCall): StandinReply;
    /** Orders carried out so far, in order. */
    listExecuted(): readonly ExecutedOrder[];
}

/** An order that was carried out. */
export interface ExecutedOrder {
    readonly kind: RunnerOrderKind;
    readonly argument: string;
    readonly epoch: number;
    readonly token: string;
}

/** What an order book needs. */
export interface OrderBookOptions {
    readonly version: string;
    /** Whether orders with an old epoch are refused. */
    readonly checksFencing: () => boolean;
    /** Called after an order was carried out. */
    readonly handleExecuted?: (state: RunnerState) => void;
    /** Fetches weights; an order whose weights can't be fetched has no effect. */
    readonly loadWeights: (name: string) => Promise<Result<unknown, Failure>>;
}

const orderSchema = z.strictObject({
    kind: z.enum(RunnerOrderKind),
    argument: z.string(),
    epoch: z.number().int(),
    token: z.string(),
});

/**
 * Creates the order book of a runner.
 *
 * @param options - First version, fencing and the weight store
 * @returns The book
 * @example
 * const orders = createOrderBook({ version: "v1", checksFencing: () => true, loadWeights });
 */
export function createOrderBook(options: OrderBookOptions): OrderBook {
    let state: RunnerState = { version: options.version, adapters: [], role: "serve", epoch: undefined };
    const seenTokens = new Set<string>();
    const executed: ExecutedOrder[] = [];

    const EFFECTS: Readonly<Record<RunnerOrderKind, (argument: string) => RunnerState>> = {
        [RunnerOrderKind.LoadVersion]: version => ({ ...state, version }),
        [RunnerOrderKind.LoadAdapter]: adapter => ({
            ...state,
            adapters: [...state.adapters.filter(other => other !== adapter), adapter],
        }),
        [RunnerOrderKind.ChangeRole]: role => ({ ...state, role }),
    };
    const executeOrder = async (order: ExecutedOrder) => {
        if (order.kind !== RunnerOrderKind.ChangeRole && (await options.loadWeights(order.argument)).isErr()) {
            seenTokens.delete(order.token);
            return;
        }
        state = EFFECTS[order.kind](order.argument);
        executed.push(order);
        options.handleExecuted?.(state);
    };
    return {
        readState: () => (options.checksFencing() ? state : { ...state, epoch: undefined }),
        listExecuted: () => executed,
        handleOrder: call => {
            const parsed = orderSchema.safeParse(JSON.parse(call.body.toString("utf8")));
            if (!parsed.success) {
                return refuseOrder(HttpStatus.BadRequest, z.prettifyError(parsed.error));
            }
            const order = parsed.data;
            if (options.checksFencing() && order.epoch < (state.epoch ?? 0)) {
                return refuseOrder(HttpStatus.Conflict, `The epoch ${order.epoch} is older than ${state.epoch}.`);
            }
            state = { ...state, epoch: Math.max(order.epoch, state.epoch ?? 0) };
            if (!seenTokens.has(order.token)) {
                seenTokens.add(order.token);
                void executeOrder(order);
            }
            return { status: HttpStatus.Accepted };
        },
    };
}

function refuseOrder(status: number, message: string): StandinReply {
    return { status, body: { error: { message } }, headers: { "redwinglift-execution": "not_run" } };
}
