/**
 * `jobs`: lists tasks.
 */
import { TaskState } from "../../core/messages/operator.js";
import type { TaskSummary } from "../../core/messages/operator.js";
import { listTasks } from "../../operator/messages.js";
import type { Command } from "../command.js";
import { textOption } from "../command.js";
import { exitCodes } from "../exit.js";
import { printRows, reportReadFailure, reportSilent } from "../report.js";
import type { Column } from "../table.js";

const columns: readonly Column<TaskSummary>[] = [
    { heading: "TASK", cell: task => task.taskId },
    { heading: "RULE", cell: task => task.rule },
    { heading: "TEAM", cell: task => task.team },
    { heading: "STATE", cell: task => task.state },
    { heading: "WORKER", cell: task => task.worker ?? "-" },
    { heading: "DONE", cell: task => `${Math.floor(task.progress * 100)}%` },
    { heading: "REQUESTER", cell: task => task.requester },
    { heading: "REASON", cell: task => task.reason },
];

export const jobs: Command = {
    name: "jobs",
    positionals: [],
    options: {
        rule: { type: "string", help: "only tasks of this rule" },
        team: { type: "string", help: "only tasks of this team" },
        state: { type: "string", help: `only tasks in this state: ${TaskState.options.join(", ")}` },
    },
    watchable: true,
    summary: "list tasks: what runs or waits, where, and who asked",
    async run(context) {
        const rule = textOption(context, "rule");
        const team = textOption(context, "team");
        const state = textOption(context, "state");
        const known = TaskState.options.find(option => option === state);
        if (state !== undefined && known === undefined) {
            context.note(`unknown state ${state}: use one of ${TaskState.options.join(", ")}`);
            return exitCodes.usage;
        }
        const answer = await context.call(listTasks, {
            ...(rule === undefined ? {} : { rule }),
            ...(team === undefined ? {} : { team }),
            ...(known === undefined ? {} : { states: [known] }),
        });
        if (answer.isErr) {
            return reportReadFailure(context, answer.error);
        }
        printRows(context, columns, answer.value.tasks);
        return reportSilent(context, answer.value.silent);
    },
};
