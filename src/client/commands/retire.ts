/**
 * `retire`: ends every rule of a feature, after showing what will stop and who asked for it.
 */
import { randomUUID } from "node:crypto";
import { applyRules, listTasks, showRules } from "../../operator/messages.js";
import { printRule } from "../../rules/print.js";
import type { TeamRule } from "../../rules/rule.js";
import { callUntilSettled, reportApplied, spreadWaitOption } from "../apply.js";
import type { Command, CommandContext } from "../command.js";
import { textOption } from "../command.js";
import { exitCodes } from "../exit.js";
import type { ExitCode } from "../exit.js";
import { reportFailure, reportReadFailure } from "../report.js";
import { readAllRules } from "../rules.js";
import { followEnd } from "./cancel.js";

export const retire: Command = {
    name: "retire",
    positionals: ["FEATURE"],
    options: {
        team: {
            type: "string",
            help: "team whose rules get the retire line; by default the only team with such rules",
        },
        yes: { type: "boolean", help: "do it; without this the command only shows what would stop" },
        wait: spreadWaitOption,
    },
    summary: "end every rule of a feature, its jobs and its schedules",
    async run(context) {
        const [feature = ""] = context.positionals;
        const rules = await readAllRules(context);
        if (rules.isErr) {
            return reportReadFailure(context, rules.error);
        }
        const ending = rules.value.filter(({ rule }) => rule.end.feature === feature);
        if (ending.length === 0) {
            context.note(`no rule ends with feature ${feature}`);
            return exitCodes.notFound;
        }
        const shown = await showEnding(context, ending);
        if (shown !== undefined) {
            return shown;
        }
        const teams = [...new Set(ending.map(({ team }) => team))];
        const team = textOption(context, "team") ?? (teams.length === 1 ? teams[0] : undefined);
        if (team === undefined) {
            context.note(`rules of ${teams.join(", ")} end with ${feature}; say with --team whose file gets the line`);
            return exitCodes.usage;
        }
        if (context.values["yes"] !== true) {
            context.note("nothing was changed; add --yes to retire the feature");
            return exitCodes.unconfirmed;
        }
        return retireIn(context, team, feature, ending);
    },
};

async function showEnding(context: CommandContext, ending: readonly TeamRule[]): Promise<ExitCode | undefined> {
    const tasks = await context.call(listTasks, {});
    if (tasks.isErr) {
        return reportReadFailure(context, tasks.error);
    }
    for (const { team, rule } of ending) {
        const count = tasks.value.tasks.filter(task => task.rule === rule.name).length;
        context.note(`ends: ${printRule(rule)} (team ${team}, ${count} tasks)`);
    }
    return undefined;
}

async function retireIn(
    context: CommandContext,
    team: string,
    feature: string,
    ending: readonly TeamRule[],
): Promise<ExitCode> {
    const shown = await context.call(showRules, { team });
    if (shown.isErr) {
        return reportReadFailure(context, shown.error);
    }
    const [current] = shown.value.versions;
    const text = current?.text ?? "";
    const line = `retire ${feature}   # ${context.by}`;
    const answer = await callUntilSettled(context, applyRules, {
        team,
        text: `${text === "" || text.endsWith("\n") ? text : `${text}\n`}${line}\n`,
        baseRevision: current?.revision ?? 0,
        applyId: randomUUID(),
        by: context.by,
    });
    if (answer.isErr) {
        return reportFailure(context, answer.error);
    }
    const code = await reportApplied(context, team, answer.value);
    if (answer.value.outcome !== "accepted" || code !== exitCodes.done) {
        return code;
    }
    const names = new Set(ending.map(({ rule }) => rule.name));
    const left = await followEnd(context, tasks => tasks.filter(task => names.has(task.rule)));
    return left === 0 ? exitCodes.done : exitCodes.partial;
}
