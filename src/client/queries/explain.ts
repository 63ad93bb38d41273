/**
 * `explain`: tells why a rule or a task runs or waits.
 */
import type { z } from "zod";
import { explainTasks, listTasks } from "../../operator/messages.js";
import { printRule } from "../../rules/print.js";
import type { TeamRule } from "../../rules/rule.js";
import type { Command, CommandContext } from "../command.js";
import { exitCodes } from "../exit.js";
import type { ExitCode } from "../exit.js";
import { reportReadFailure, reportSilent } from "../report.js";
import { describeEnd, listRetired, readAllRules } from "../rules.js";

type Explanation = z.output<typeof explainTasks.answer>;

export const explain: Command = {
    name: "explain",
    positionals: ["RULE-OR-TASK"],
    options: {},
    summary: "tell why a rule or task runs or waits, who asked, when it ends, what placement refused and why",
    async run(context) {
        const [name = ""] = context.positionals;
        const rules = await readAllRules(context);
        if (rules.isErr) {
            return reportReadFailure(context, rules.error);
        }
        const found = rules.value.filter(({ rule }) => rule.name === name);
        if (found.length > 0) {
            return explainRules(context, found, listRetired(rules.value));
        }
        const explained = await context.call(explainTasks, { taskId: name });
        if (explained.isErr) {
            return reportReadFailure(context, explained.error);
        }
        return reportTask(context, name, explained.value, rules.value);
    },
};

async function explainRules(
    context: CommandContext,
    found: readonly TeamRule[],
    retired: ReadonlySet<string>,
): Promise<ExitCode> {
    const [first] = found;
    const tasks = await context.call(listTasks, first === undefined ? {} : { rule: first.rule.name });
    if (tasks.isErr) {
        return reportReadFailure(context, tasks.error);
    }
    if (context.json) {
        context.print(JSON.stringify({ rules: found, ...tasks.value }));
        return reportSilent(context, tasks.value.silent);
    }
    for (const { team, rule } of found) {
        context.print(printRule(rule));
        context.print(`  asked for by ${rule.requester}, team ${team}, line ${rule.line}; ${describeEnd(rule)}`);
        if (rule.end.feature !== undefined && retired.has(rule.end.feature)) {
            context.print(`  its feature ${rule.end.feature} is retired: nothing of it runs any more`);
        }
    }
    for (const task of tasks.value.tasks) {
        const place = task.worker === undefined ? "" : ` on ${task.worker}`;
        context.print(`  ${task.taskId}: ${task.state}${place}${task.reason === "" ? "" : `: ${task.reason}`}`);
    }
    context.print(`  ${tasks.value.tasks.length} tasks`);
    return reportSilent(context, tasks.value.silent);
}

function reportTask(
    context: CommandContext,
    taskId: string,
    explanation: Explanation,
    rules: readonly TeamRule[],
): ExitCode {
    const { task, refusals, events, silent } = explanation;
    if (context.json) {
        context.print(JSON.stringify(explanation));
    }
    if (task === undefined) {
        context.note(`no rule and no task is named ${taskId}`);
        return silent.length > 0 ? reportSilent(context, silent) : exitCodes.notFound;
    }
    if (!context.json) {
        const rule = rules.find(candidate => candidate.rule.name === task.rule)?.rule;
        const place = task.worker === undefined ? "" : ` on ${task.worker}`;
        const end = rule === undefined ? "its rule is no longer in force" : describeEnd(rule);
        context.print(`${task.taskId}: ${task.state}${place}${task.reason === "" ? "" : `: ${task.reason}`}`);
        context.print(`  rule ${task.rule} of team ${task.team}, asked for by ${task.requester}; ${end}`);
        for (const refusal of refusals) {
            context.print(`  refused by ${refusal.workers} workers: ${refusal.reason}`);
        }
        for (const { atMilliseconds, event } of events) {
            context.print(`  ${new Date(atMilliseconds).toISOString()}  ${event}`);
        }
    }
    return reportSilent(context, silent);
}
