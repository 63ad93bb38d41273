/**
 * Owner's side of renewals: remembers what each worker has been told and has told, and puts whole answers together.
 */
import { Result } from "true-myth/result";
import { createFailure } from "../../core/errors.js";
import type { Failure } from "../../core/errors.js";
import type {
    AttemptStatus,
    AttemptUsage,
    GatewayConnections,
    RenewAnswer,
    RenewRequest,
    WorkerControl,
} from "../worker.js";
import { keyOfAttempt } from "./renewal.js";
import type { RenewNews, RenewOrder, UsageChange } from "./renewal.js";

/** Sends a renewal to a worker. */
export type SendRenewal = (origin: string, order: RenewOrder) => Promise<Result<RenewNews, Failure>>;

/** What an owner and a worker have told each other under one epoch. */
interface Conversation {
    readonly owner: string;
    readonly epoch: number;
    readonly worker: string;
    readonly incarnation: string;
    readonly statuses: Map<string, AttemptStatus>;
    readonly usages: Map<string, AttemptUsage>;
    connections: readonly GatewayConnections[];
    version: string;
    /** The attempts that the last renewal renewed, as text. */
    renewed: string;
}

/** Creates the function that renews; a conversation is forgotten with the first failure. */
export function createRenewals(send: SendRenewal): WorkerControl["renew"] {
    const conversations = new Map<string, Conversation>();

    const sendWhole = async (origin: string, request: RenewRequest): Promise<Result<RenewAnswer, Failure>> => {
        const news = await send(origin, request);
        return news.andThen(whole => {
            const conversation = begin(request, whole);
            if (conversation === undefined) {
                return Result.err(createFailure("internal", "renew", "the answer is not whole", { peer: origin }));
            }
            conversations.set(`${origin} ${request.cell}`, conversation);
            return Result.ok(takeNews(conversation, request, whole));
        });
    };

    return async (origin, request) => {
        const key = `${origin} ${request.cell}`;
        const conversation = conversations.get(key);
        // Forgotten until the answer is there: after a failure it is not known which version the worker is at.
        conversations.delete(key);
        if (conversation?.epoch !== request.epoch || conversation.owner !== request.owner) {
            return sendWhole(origin, request);
        }
        const news = await send(origin, shorten(request, conversation));
        if (news.isErr) {
            return news.error.code === "conflict" ? sendWhole(origin, request) : Result.err(news.error);
        }
        conversations.set(key, conversation);
        return Result.ok(takeNews(conversation, request, news.value));
    };
}

function begin(request: RenewRequest, { worker, incarnation, version }: RenewNews): Conversation | undefined {
    return worker === undefined || incarnation === undefined ? undefined : {
        owner: request.owner,
        epoch: request.epoch,
        worker,
        incarnation,
        statuses: new Map(),
        usages: new Map(),
        connections: [],
        version,
        renewed: "",
    };
}

function shorten({ renewals, acknowledged, ...rest }: RenewRequest, conversation: Conversation): RenewOrder {
    return {
        ...rest,
        known: conversation.version,
        ...(JSON.stringify(renewals) === conversation.renewed ? {} : { renewals }),
        ...(acknowledged.length === 0 ? {} : { acknowledged }),
    };
}

function takeNews(conversation: Conversation, request: RenewRequest, news: RenewNews): RenewAnswer {
    const { statuses, usages } = conversation;
    conversation.version = news.version;
    conversation.renewed = JSON.stringify(request.renewals);
    news.forgotten?.forEach(attempt => statuses.delete(keyOfAttempt(attempt)));
    news.attempts?.forEach(status => statuses.set(keyOfAttempt(status), status));
    news.report?.ended?.forEach(attempt => usages.delete(keyOfAttempt(attempt)));
    news.report?.usages?.forEach(change => takeUsage(usages, change));
    conversation.connections = news.report?.connections ?? conversation.connections;
    const { worker, incarnation } = conversation;
    return {
        worker,
        incarnation,
        attempts: [...statuses.values()],
        ...(news.report === undefined ? {} : {
            report: {
                worker,
                incarnation,
                measuredAtMilliseconds: news.report.measuredAtMilliseconds,
                usages: [...usages.values()],
                connections: [...conversation.connections],
            },
        }),
    };
}

function takeUsage(usages: Map<string, AttemptUsage>, change: UsageChange): void {
    const key = keyOfAttempt(change);
    const { rule, kind, cores, memoryBytes, progress, throttleShare } = change;
    const isWhole = rule !== undefined && kind !== undefined && cores !== undefined && memoryBytes !== undefined
        && progress !== undefined && throttleShare !== undefined;
    const former = usages.get(key);
    if (isWhole) {
        usages.set(key, { ...change, rule, kind, cores, memoryBytes, progress, throttleShare });
    }
    else if (former !== undefined) {
        usages.set(key, { ...former, ...withoutAbsent(change) });
    }
}

/** Leaves out keys that are set to nothing. */
function withoutAbsent(change: UsageChange): Partial<AttemptUsage> {
    return Object.fromEntries(Object.entries(change).filter(([, value]) => value !== undefined));
}
