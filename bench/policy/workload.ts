/**
 * @module The simulated requests: questions that continue conversations, and digests over shared articles.
 */
import { createRandom, type Random } from "../../src/base/createRandom";

/** One simulated request. */
export interface SimulatedRequest {
    readonly requestId: string;
    readonly accountName: string;
    readonly className: string;
    readonly targetMs: number;
    readonly promptTokens: number;
    readonly prefixHashes: readonly string[];
    readonly answerTokens: number;
    readonly maximumTokens: number;
}

/** Tokens of a block of the engines' prefix cache. */
export const BLOCK_TOKENS = 64;

const LARGE_ACCOUNT_SHARE = 0.6;
const SMALL_ACCOUNTS = 4;
const DIGEST_SHARE = 0.2;
const SYSTEM_BLOCKS = 8;
const ARTICLES = 200;
const ARTICLE_BLOCKS = 16;
const CONVERSATIONS_KEPT = 400;
const CONTINUED_SHARE = 0.5;
const LONGEST_CONVERSATION_BLOCKS = 40;

/** Gives the next request each time it is called. */
export type Workload = () => SimulatedRequest;

/**
 * Creates a workload; the same seed gives the same requests.
 *
 * @param seed - Any whole number
 * @param scale - How many times as many conversations as at a small size
 * @returns The workload
 * @example
 * const drawRequest = createWorkload(1, 20);
 */
export function createWorkload(seed: number, scale: number): Workload {
    const random = createRandom(seed);
    const conversations: { readonly id: string; blocks: number }[] = [];
    let count = 0;
    const drawQuestion = (): Omit<SimulatedRequest, "requestId" | "accountName"> => {
        const isContinued = conversations.length > 0 && random.drawFraction() < CONTINUED_SHARE;
        const position = random.drawInteger(0, Math.max(0, conversations.length - 1));
        const continued = isContinued ? conversations[position] : undefined;
        const conversation = continued ?? { id: `c${count}`, blocks: 0 };
        conversation.blocks += random.drawInteger(1, 4);
        if (continued === undefined) {
            conversations.push(conversation);
        }
        if (conversations.length > CONVERSATIONS_KEPT * scale || conversation.blocks > LONGEST_CONVERSATION_BLOCKS) {
            conversations.splice(position, 1);
        }
        const answerTokens = random.drawInteger(32, 224);
        return {
            className: "question",
            targetMs: 1_200,
            ...buildPrompt("question", conversation.id, conversation.blocks),
            answerTokens,
            maximumTokens: 256,
        };
    };
    const drawDigest = (): Omit<SimulatedRequest, "requestId" | "accountName"> => {
        const article = `a${random.drawInteger(1, ARTICLES)}`;
        const answerTokens = random.drawInteger(200, 500);
        const prompt = buildPrompt("digest", article, ARTICLE_BLOCKS);
        return { className: "digest", targetMs: 4_000, ...prompt, answerTokens, maximumTokens: 512 };
    };
    return () => {
        count++;
        const size = random.drawFraction() < DIGEST_SHARE ? drawDigest() : drawQuestion();
        return { requestId: `r${seed}-${count}`, accountName: drawAccount(random), ...size };
    };
}

function drawAccount(random: Random): string {
    return random.drawFraction() < LARGE_ACCOUNT_SHARE ? "large" : `small-${random.drawInteger(1, SMALL_ACCOUNTS)}`;
}

function buildPrompt(system: string, topic: string, blocks: number) {
    const shared = Array.from({ length: SYSTEM_BLOCKS }, (_, index) => `${system}/${index}`);
    const own = Array.from({ length: blocks }, (_, index) => `${system}/${topic}/${index}`);
    const prefixHashes = [...shared, ...own];
    return { promptTokens: prefixHashes.length * BLOCK_TOKENS + BLOCK_TOKENS / 2, prefixHashes };
}
