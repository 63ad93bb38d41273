/**
 * `rules show`: prints the rules in force.
 */
import { showRules } from "../../operator/messages.js";
import type { Command } from "../command.js";
import { exitCodes } from "../exit.js";
import { reportReadFailure } from "../report.js";

export const rulesShow: Command = {
    name: "rules show",
    positionals: ["[TEAM]"],
    options: {},
    summary: "print the rules of a team, or of all, as they were applied",
    async run(context) {
        const [team] = context.positionals;
        const shown = await context.call(showRules, team === undefined ? {} : { team });
        if (shown.isErr) {
            return reportReadFailure(context, shown.error);
        }
        const { source, versions } = shown.value;
        if (source === "in-force") {
            context.note("the store does not answer; these are the rules that the gateway acts on");
        }
        if (context.json) {
            context.print(JSON.stringify(shown.value));
            return exitCodes.done;
        }
        for (const version of versions) {
            const at = new Date(version.appliedAtMilliseconds).toISOString();
            context.print(`# ${version.team}, revision ${version.revision}, applied by ${version.appliedBy} at ${at}`);
            context.print(version.text.trimEnd());
        }
        if (team !== undefined && versions.length === 0) {
            context.note(`${team} has no rules`);
            return exitCodes.notFound;
        }
        return exitCodes.done;
    },
};
