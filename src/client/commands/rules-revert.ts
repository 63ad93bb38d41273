/**
 * `rules revert-to`: puts an earlier version of a team's rules in force again.
 */
import { randomUUID } from "node:crypto";
import { revertRules, showRules } from "../../operator/messages.js";
import { callUntilSettled, reportApplied, spreadWaitOption } from "../apply.js";
import type { Command } from "../command.js";
import { exitCodes } from "../exit.js";
import { reportFailure, reportReadFailure } from "../report.js";

export const rulesRevert: Command = {
    name: "rules revert-to",
    positionals: ["TEAM", "VERSION"],
    options: { wait: spreadWaitOption },
    summary: "apply an earlier version of a team's rules again; rules history lists the versions",
    async run(context) {
        const [team = "", version = ""] = context.positionals;
        if (!/^[1-9]\d*$/.test(version)) {
            context.note(`VERSION is a number from rules history ${team}, not ${version}`);
            return exitCodes.usage;
        }
        const shown = await context.call(showRules, { team });
        if (shown.isErr) {
            return reportReadFailure(context, shown.error);
        }
        const answer = await callUntilSettled(context, revertRules, {
            team,
            sequence: Number(version),
            baseRevision: shown.value.versions[0]?.revision ?? 0,
            applyId: randomUUID(),
            by: context.by,
        });
        return answer.isErr ? reportFailure(context, answer.error) : reportApplied(context, team, answer.value);
    },
};
