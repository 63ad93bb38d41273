/**
 * `rules plan`: tells what an apply would change.
 */
import { planRules } from "../../operator/messages.js";
import type { Command } from "../command.js";
import { exitCodes } from "../exit.js";
import { printChanges, reportFailure, reportReadFailure, reportRejected } from "../report.js";
import { readRulesFile } from "../team.js";

export const rulesPlan: Command = {
    name: "rules plan",
    positionals: ["FILE"],
    options: { team: { type: "string", help: "team whose rules these are; by default the file's name" } },
    summary: "check a rules file against everything known and show what an apply would change",
    async run(context) {
        const read = await readRulesFile(context);
        if (read.isErr) {
            return reportFailure(context, read.error);
        }
        const { file, team } = read.value;
        const plan = await context.call(planRules, read.value);
        if (plan.isErr) {
            return reportReadFailure(context, plan.error);
        }
        const { failures, changes, baseRevision } = plan.value;
        if (failures.length > 0) {
            return reportRejected(context, failures);
        }
        if (context.json) {
            context.print(JSON.stringify(plan.value));
            return exitCodes.done;
        }
        printChanges(context, changes);
        context.print(
            changes.length === 0
                ? `${team}: nothing would change`
                : `changed lines: ${changes.length}; apply with: rules apply ${file} --team ${team} --base ${baseRevision}`,
        );
        return exitCodes.done;
    },
};
