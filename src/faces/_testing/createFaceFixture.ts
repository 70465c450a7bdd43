/**
 * @module A callers' listener over fake tasks, for tests.
 */
import { createHash } from "node:crypto";
import { err, ok, type Result } from "neverthrow";
import { type Channel, createChannel } from "../../base/csp";
import { createFailure } from "../../base/createFailure";
import { createSystemClock } from "../../base/createSystemClock";
import { type Failure, FailureKind } from "../../base/failure";
import { type Configuration, ServiceKind } from "../../model/configuration";
import type { ChatRequest, RequestContext, ServiceCall } from "../../model/request";
import type { ServiceResponse } from "../../ports/applicationRunner";
import type { CallerLimits } from "../../settings/settings";
import type { AnswerEvent } from "../../tasks/execution/executionClient";
import { JobState, type JobView } from "../../tasks/jobs/jobClient";
import type { CallerListener, ExchangeSummary } from "../callerListener";
import { createCallerListener } from "../createCallerListener";

/** Key of the account `crew`. */
export const CREW_KEY = "rwl_crew_key";
/** Key of the account `clerk`. */
export const CLERK_KEY = "rwl_clerk_key";

/** A chat request that reached the fake execution. */
export interface StartedChat {
    readonly context: RequestContext;
    readonly chat: ChatRequest;
    readonly answers: Channel<AnswerEvent>;
    isCancelled: boolean;
}

/** The listener and what its fakes saw. */
export interface FaceFixture {
    readonly listener: CallerListener;
    readonly baseUrl: string;
    readonly started: StartedChat[];
    readonly calls: ServiceCall[];
    readonly ends: ExchangeSummary[];
    dispose(): void;
}

/** What a test may set. */
export interface FaceFixtureOptions {
    readonly limits?: Partial<CallerLimits>;
    /** Plays the execution of a chat request. */
    readonly play?: (started: StartedChat) => void;
    readonly answerCall?: (call: ServiceCall) => Promise<Result<ServiceResponse, Failure>>;
}

const CONFIGURATION: Configuration = {
    revision: 1,
    classes: {
        question: {
            name: "question",
            latencyTargetMs: 1_200,
            tokenGapTargetMs: 28,
            deadlineMs: 60_000,
            costCeilingMicros: 1_000,
            isIdempotent: true,
        },
    },
    accounts: {
        crew: { name: "crew", keyHashes: [hashKey(CREW_KEY)], defaultClass: "question" },
        clerk: { name: "clerk", keyHashes: [hashKey(CLERK_KEY)], defaultClass: "question" },
    },
    services: {
        assistant: { name: "assistant", kind: ServiceKind.Model, version: "v1" },
        ledger: { name: "ledger", kind: ServiceKind.Application, version: "v1" },
    },
    endpointTraits: {},
    versionMoves: {},
};

/**
 * Creates the fixture on a free loopback port.
 *
 * @param options - Limits and the fakes' behaviour
 * @returns The fixture
 * @example
 * const fixture = await createFaceFixture({ play: started => answerWords(started, ["Hello"]) });
 */
export async function createFaceFixture(options: FaceFixtureOptions = {}): Promise<FaceFixture> {
    const started: StartedChat[] = [];
    const calls: ServiceCall[] = [];
    const ends: ExchangeSummary[] = [];
    const jobs = new Map<string, JobView>();
    const listener = await createCallerListener(
        {
            clock: createSystemClock(),
            configuration: {
                readCurrent: () => CONFIGURATION,
                commitChange: () => Promise.resolve(err(createFailure(FailureKind.Internal, "not used here"))),
                subscribeApplied: () => () => undefined,
                waitUntilInForce: revision => Promise.resolve({ revision, isInForce: true, nodeCount: 1, lacking: [] }),
            },
            execution: {
                startChat: (context, chat) => {
                    const chatStart = { context, chat, answers: createChannel<AnswerEvent>(8), isCancelled: false };
                    started.push(chatStart);
                    options.play?.(chatStart);
                    return { answers: chatStart.answers, cancel: () => (chatStart.isCancelled = true) };
                },
                callService: (context, call) => {
                    calls.push(call);
                    const answer = { status: 200, headers: { "x-ledger": "yes" }, body: call.body };
                    return options.answerCall?.(call) ?? Promise.resolve(ok(answer));
                },
            },
            jobs: {
                submitJob: (context, chat) => {
                    const job = createJob(context, chat);
                    jobs.set(job.jobId, job);
                    return Promise.resolve(ok(job));
                },
                readJob: (accountName, jobId) => Promise.resolve(findJob(jobs, accountName, jobId)),
                listJobs: accountName =>
                    Promise.resolve(ok([...jobs.values()].filter(job => job.accountName === accountName))),
                cancelJob: (accountName, jobId) =>
                    Promise.resolve(
                        findJob(jobs, accountName, jobId).map(job => ({ ...job, state: JobState.Cancelled })),
                    ),
            },
        },
        {
            address: "127.0.0.1",
            port: 0,
            limits: {
                bodyBytes: 65_536,
                headerMs: 5_000,
                idleMs: 5_000,
                connections: 100,
                openRequests: 100,
                ...options.limits,
            },
            isReady: () => true,
            reportEnd: summary => ends.push(summary),
        },
    );
    return {
        listener,
        baseUrl: `http://127.0.0.1:${listener.port}`,
        started,
        calls,
        ends,
        dispose: () => listener.dispose(),
    };
}

function hashKey(key: string): string {
    return createHash("sha256").update(key).digest("hex");
}

function createJob(context: RequestContext, chat: ChatRequest): JobView {
    return {
        jobId: context.requestId,
        accountName: context.accountName,
        className: context.className,
        model: chat.model,
        state: JobState.Queued,
        acceptedAtWallMs: 1_700_000_000_000,
        deadlineWallMs: 1_700_000_060_000,
    };
}

function findJob(jobs: ReadonlyMap<string, JobView>, accountName: string, jobId: string): Result<JobView, Failure> {
    const job = jobs.get(jobId);
    return job?.accountName === accountName
        ? ok(job)
        : err(createFailure(FailureKind.NotFound, "There is no such job."));
}
