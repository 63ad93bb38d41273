/**
 * `rules history`: tells who changed what and when.
 */
import { listHistory } from "../../operator/messages.js";
import type { Command } from "../command.js";
import { exitCodes } from "../exit.js";
import { printChanges, reportReadFailure } from "../report.js";

export const rulesHistory: Command = {
    name: "rules history",
    positionals: ["TEAM"],
    options: {},
    summary: "list the versions of a team's rules: who changed what and when",
    async run(context) {
        const [team = ""] = context.positionals;
        const history = await context.call(listHistory, { team });
        if (history.isErr) {
            return reportReadFailure(context, history.error);
        }
        const { entries } = history.value;
        if (context.json) {
            context.print(JSON.stringify(entries));
        }
        else {
            for (const { version, changes } of entries) {
                const at = new Date(version.appliedAtMilliseconds).toISOString();
                context.print(
                    `version ${version.sequence}, revision ${version.revision}: ${version.appliedBy} at ${at}`,
                );
                printChanges(context, changes);
            }
        }
        if (entries.length === 0) {
            context.note(`${team} has no history`);
            return exitCodes.notFound;
        }
        return exitCodes.done;
    },
};
