/**
 * `rules apply`: puts a rules file in force and follows it until every process has it.
 */
import { randomUUID } from "node:crypto";
import { Result } from "true-myth/result";
import type { Failure } from "../../core/errors.js";
import { applyRules, planRules } from "../../operator/messages.js";
import { callUntilSettled, reportApplied, spreadWaitOption } from "../apply.js";
import type { Command, CommandContext } from "../command.js";
import { textOption } from "../command.js";
import { reportFailure } from "../report.js";
import { readRulesFile } from "../team.js";

export const rulesApply: Command = {
    name: "rules apply",
    positionals: ["FILE"],
    options: {
        team: { type: "string", help: "team whose rules these are; by default the file's name" },
        base: {
            type: "string",
            number: true,
            help: "revision that the file was made from; by default the one in force",
        },
        wait: spreadWaitOption,
    },
    summary: "put a rules file in force, whole or not at all",
    async run(context) {
        const read = await readRulesFile(context);
        if (read.isErr) {
            return reportFailure(context, read.error);
        }
        const { team, text } = read.value;
        const base = await findBase(context, team, text);
        if (base.isErr) {
            return reportFailure(context, base.error);
        }
        const applied = await callUntilSettled(context, applyRules, {
            ...read.value,
            baseRevision: base.value,
            applyId: randomUUID(),
            by: context.by,
        });
        return applied.isErr ? reportFailure(context, applied.error) : reportApplied(context, team, applied.value);
    },
};

async function findBase(context: CommandContext, team: string, text: string): Promise<Result<number, Failure>> {
    const given = textOption(context, "base");
    if (given !== undefined) {
        return Result.ok(Number(given));
    }
    const plan = await context.call(planRules, { team, text });
    return plan.map(({ baseRevision }) => baseRevision);
}
