/**
 * Forwards what operators ask to schedulers and gateways, and joins their answers.
 */
import { Result } from "true-myth/result";
import type { z } from "zod";
import type { Failure } from "../core/errors.js";
import {
    cancelTask,
    drainWorker,
    explainTask,
    listTasks as listSchedulerTasks,
    listWorkers as listSchedulerWorkers,
    readStatus,
} from "../core/messages/operator.js";
import { implement } from "../core/method.js";
import type { Method, MethodHandler } from "../core/method.js";
import { getMemberName } from "../membership/member.js";
import type { Member } from "../membership/member.js";
import { cancelTasks, drainWorkers, explainTasks, listStatus, listTasks, listWorkers } from "./messages.js";
import type { OperatorContext } from "./operator.js";

/** Answers of several processes, and the names of those that gave none. */
export interface Collected<Answer> {
    readonly answers: readonly { readonly member: Member; readonly answer: Answer; }[];
    readonly silent: string[];
}

/** Calls a method of several processes at once. */
export async function callMembers<Params extends z.ZodType, Answer extends z.ZodType>(
    context: OperatorContext,
    members: readonly Member[],
    method: Method<Params, Answer>,
    params: z.input<Params>,
): Promise<Collected<z.output<Answer>>> {
    const results = await Promise.all(members.map(async member => ({
        member,
        answer: await context.rpc.call(member.origin, method, params, {
            timeoutMilliseconds: context.settings.peerTimeoutMilliseconds,
        }),
    })));
    return {
        answers: results.flatMap(({ member, answer }) => answer.isOk ? [{ member, answer: answer.value }] : []),
        silent: results.flatMap(({ member, answer }) => answer.isErr ? [getMemberName(member)] : []),
    };
}

/** All processes that may answer, this one included. */
export function listProcesses(context: OperatorContext): Member[] {
    return [context.membership.self(), ...context.membership.members()];
}

function listSchedulers(context: OperatorContext): Member[] {
    return context.membership.members().filter(member => member.role === "scheduler" && member.state !== "dead");
}

/** Creates the handlers that forward. */
export function createForwardHandlers(context: OperatorContext): MethodHandler[] {
    return [
        implement(listTasks, async params => {
            const { answers, silent } = await callMembers(context, listSchedulers(context), listSchedulerTasks, params);
            const cells = answers.flatMap(({ answer }) => answer.cells);
            return Result.ok({ cells, tasks: answers.flatMap(({ answer }) => answer.tasks), silent });
        }),
        implement(cancelTasks, async params => {
            const { answers, silent } = await callMembers(context, listSchedulers(context), cancelTask, params);
            const found = answers.find(({ answer }) => answer.known)?.answer ?? { known: false };
            return Result.ok<z.input<typeof cancelTasks.answer>, Failure>({ ...found, silent });
        }),
        implement(explainTasks, async params => {
            const { answers, silent } = await callMembers(context, listSchedulers(context), explainTask, params);
            const found = answers.find(({ answer }) => answer.task !== undefined)?.answer
                ?? { refusals: [], events: [] };
            return Result.ok<z.input<typeof explainTasks.answer>, Failure>({ ...found, silent });
        }),
        implement(listWorkers, async params => {
            const { answers, silent } = await callMembers(
                context,
                listSchedulers(context),
                listSchedulerWorkers,
                params,
            );
            return Result.ok({ workers: answers.flatMap(({ answer }) => answer.workers), silent });
        }),
        implement(drainWorkers, async params => {
            const { answers, silent } = await callMembers(context, listSchedulers(context), drainWorker, params);
            return Result.ok({ known: answers.some(({ answer }) => answer.known), silent });
        }),
        implement(listStatus, async ({ instance }) => {
            const members = listProcesses(context)
                .filter(member => instance === undefined || member.instance === instance);
            const { answers } = await callMembers(context, members, readStatus, {});
            const processes = members.map(member => {
                const status = answers.find(answer => answer.member === member)?.answer;
                return status === undefined ? { member } : { member, status };
            });
            return Result.ok({ processes });
        }),
    ];
}
