/**
 * `who`: tells whom to ask about a rule, a feature or a team.
 */
import type { TeamRule } from "../../rules/rule.js";
import type { Command } from "../command.js";
import { exitCodes } from "../exit.js";
import { printRows, reportReadFailure } from "../report.js";
import { describeEnd, readAllRules } from "../rules.js";
import type { Column } from "../table.js";

const columns: readonly Column<TeamRule>[] = [
    { heading: "REQUESTER", cell: ({ rule }) => rule.requester },
    { heading: "TEAM", cell: ({ team }) => team },
    { heading: "RULE", cell: ({ rule }) => `${rule.kind} ${rule.name}` },
    { heading: "END", cell: ({ rule }) => describeEnd(rule) },
];

export const who: Command = {
    name: "who",
    positionals: ["NAME"],
    options: {},
    summary: "tell who asked for a rule, for what ends with a feature, or for a team's rules",
    async run(context) {
        const [name = ""] = context.positionals;
        const rules = await readAllRules(context);
        if (rules.isErr) {
            return reportReadFailure(context, rules.error);
        }
        const found = rules.value.filter(({ team, rule }) =>
            rule.name === name || rule.end.feature === name || team === name || rule.requester.includes(name)
        );
        printRows(context, columns, found);
        if (found.length === 0) {
            context.note(`no rule, feature, team or requester is named ${name}`);
            return exitCodes.notFound;
        }
        return exitCodes.done;
    },
};
