/**
 * `cancel`: cancels a task, or all tasks of a rule, and follows them until they have ended.
 */
import type { z } from "zod";
import { MILLISECONDS_PER_SECOND, pause } from "../../core/time.js";
import { cancelTasks, listTasks } from "../../operator/messages.js";
import type { Command, CommandContext } from "../command.js";
import { textOption } from "../command.js";
import { exitCodes } from "../exit.js";
import type { ExitCode } from "../exit.js";
import { reportFailure, reportReadFailure, reportSilent } from "../report.js";

const DEFAULT_WAIT_SECONDS = 30;
const POLL_MILLISECONDS = 500;
const ENDED_STATES = ["finished", "cancelled"];

type Cancelled = z.output<typeof cancelTasks.answer>;

export const cancel: Command = {
    name: "cancel",
    positionals: ["TASK"],
    options: {
        wait: {
            type: "string",
            number: true,
            help: `seconds to follow until it has ended (default ${DEFAULT_WAIT_SECONDS}; 0: don't)`,
        },
    },
    summary: "cancel a task; a task of a rule that is in force may be started anew: change the rule to end it",
    async run(context) {
        const [taskId = ""] = context.positionals;
        const answer = await context.call(cancelTasks, { taskId, by: context.by });
        if (answer.isErr) {
            return reportFailure(context, answer.error);
        }
        return reportCancelled(context, taskId, answer.value);
    },
};

async function reportCancelled(context: CommandContext, taskId: string, cancelled: Cancelled): Promise<ExitCode> {
    if (!cancelled.known) {
        context.note(`no cell has a task ${taskId}`);
        return cancelled.silent.length > 0 ? reportSilent(context, cancelled.silent) : exitCodes.notFound;
    }
    const left = await followEnd(context, tasks => tasks.filter(task => task.taskId === taskId));
    if (context.json) {
        context.print(JSON.stringify({ ...cancelled, ended: left === 0 }));
    }
    else {
        context.print(`${taskId} is ${left === 0 ? "cancelled" : "being cancelled"}`);
    }
    return left === 0 ? exitCodes.done : exitCodes.partial;
}

type Task = z.output<typeof listTasks.answer>["tasks"][number];

/** Follows tasks until all have ended or the wait is over; gives the number that is left. */
export async function followEnd(
    context: CommandContext,
    select: (tasks: readonly Task[]) => readonly Task[],
): Promise<number> {
    const limit = context.clock()
        + Number(textOption(context, "wait") ?? DEFAULT_WAIT_SECONDS) * MILLISECONDS_PER_SECOND;
    let noted = -1;
    for (;;) {
        const answer = await context.call(listTasks, {});
        if (answer.isErr) {
            reportReadFailure(context, answer.error);
            return noted;
        }
        const left = select(answer.value.tasks).filter(task => !ENDED_STATES.includes(task.state)).length;
        if (left !== noted) {
            context.note(`${left} tasks left`);
        }
        noted = left;
        // A cell whose owner did not answer may still have tasks.
        if (left === 0 && answer.value.silent.length === 0 || context.clock() >= limit || context.signal.aborted) {
            return left + answer.value.silent.length;
        }
        await pause(POLL_MILLISECONDS, context.signal);
    }
}
