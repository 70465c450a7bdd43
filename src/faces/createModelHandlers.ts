/**
 * @module `/v1/models`.
 */
import { createFailure } from "../base/createFailure";
import { FailureKind } from "../base/failure";
import { type Service, ServiceKind } from "../model/configuration";
import { endWithFailure } from "./_lib/endWithFailure";
import { sendJson } from "../http/sendJson";
import type { CallerDependencies } from "./callerDependencies";
import type { ExchangeHandler } from "./httpExchange";

/** Handlers of the model routes. */
export interface ModelHandlers {
    readonly list: ExchangeHandler;
    readonly read: ExchangeHandler;
}

/**
 * Creates the handlers that show callers which models there are.
 *
 * @param dependencies - The handles they use
 * @returns The handlers
 * @example
 * const { list, read } = createModelHandlers(dependencies);
 */
export function createModelHandlers(dependencies: CallerDependencies): ModelHandlers {
    const listModels = () =>
        Object.values(dependencies.configuration.readCurrent().services)
            .filter(service => service.kind === ServiceKind.Model)
            .map(buildModelBody);
    return {
        list: function* (exchange) {
            sendJson(exchange.response, 200, { object: "list", data: listModels() });
            return {};
        },
        read: function* (exchange) {
            const name = exchange.pathParameters[0] ?? "";
            const model = listModels().find(body => body.id === name);
            if (model === undefined) {
                const message = `There is no model named ${JSON.stringify(name)}.`;
                return endWithFailure(exchange, createFailure(FailureKind.UnknownModel, message));
            }
            sendJson(exchange.response, 200, model);
            return {};
        },
    };
}

function buildModelBody(service: Service) {
    return { id: service.name, object: "model", created: 0, owned_by: "redwinglift" };
}
