/**
 * @module Generation requests in OpenAI's format.
 */
import type { GenerationRequest } from "../../ports/modelRunner";

/**
 * Formats the body of `POST /v1/chat/completions`. What OpenAI's format lacks goes into the object `redwinglift`,
 * which other engines ignore.
 *
 * @param request - The request
 * @returns JSON
 * @example
 * formatGeneration({ id, chat, priority: 0, resumedTexts: [] });
 */
export function formatGeneration(request: GenerationRequest): Buffer {
    const { id, chat } = request;
    return Buffer.from(
        JSON.stringify({
            ...chat.sampling,
            model: chat.model,
            messages: chat.messages,
            max_tokens: chat.maximumTokens,
            stream: true,
            stream_options: { include_usage: true },
            redwinglift: {
                request_id: id.requestId,
                attempt: id.attempt,
                priority: request.priority,
                resumed_texts: request.resumedTexts,
                imported_cache_id: request.importedCacheId,
            },
        }),
    );
}
