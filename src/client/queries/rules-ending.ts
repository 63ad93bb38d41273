/**
 * `rules ending`: tells what ends soon and who asked for it.
 */
import { findEnding } from "../../operator/ending.js";
import type { EndingRule } from "../../operator/ending.js";
import type { Command } from "../command.js";
import { textOption } from "../command.js";
import { exitCodes } from "../exit.js";
import { printRows, reportReadFailure } from "../report.js";
import { describeEnd, readAllRules } from "../rules.js";
import type { Column } from "../table.js";

const DEFAULT_DAYS = 14;

const columns: readonly Column<EndingRule>[] = [
    { heading: "TEAM", cell: ({ team }) => team },
    { heading: "RULE", cell: ({ rule }) => `${rule.kind} ${rule.name}` },
    { heading: "STATE", cell: ({ state }) => state },
    { heading: "REQUESTER", cell: ({ rule }) => rule.requester },
    { heading: "END", cell: ({ rule }) => describeEnd(rule) },
];

export const rulesEnding: Command = {
    name: "rules ending",
    positionals: [],
    options: { days: { type: "string", number: true, help: `days to look ahead (default ${DEFAULT_DAYS})` } },
    summary: "list the rules that have ended or end within some days, and who asked for them",
    async run(context) {
        const days = Number(textOption(context, "days") ?? DEFAULT_DAYS);
        const rules = await readAllRules(context);
        if (rules.isErr) {
            return reportReadFailure(context, rules.error);
        }
        const ending = findEnding(rules.value, days, context.clock());
        if (ending.length === 0) {
            context.note(`no rule has ended or ends within ${days} days`);
        }
        printRows(context, columns, ending);
        return exitCodes.done;
    },
};
