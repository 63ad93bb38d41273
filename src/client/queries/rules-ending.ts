/**
 * `rules ending`: tells what ends soon and who asked for it.
 */
import { MILLISECONDS_PER_DAY } from "../../core/time.js";
import type { Command } from "../command.js";
import { textOption } from "../command.js";
import { exitCodes } from "../exit.js";
import { printRows, reportReadFailure } from "../report.js";
import { describeEnd, listRetired, readAllRules } from "../rules.js";
import type { TeamRule } from "../rules.js";
import type { Column } from "../table.js";

const DEFAULT_DAYS = 14;

const columns: readonly Column<TeamRule>[] = [
    { heading: "TEAM", cell: ({ team }) => team },
    { heading: "RULE", cell: ({ rule }) => `${rule.kind} ${rule.name}` },
    { heading: "REQUESTER", cell: ({ rule }) => rule.requester },
    { heading: "END", cell: ({ rule }) => describeEnd(rule) },
];

export const rulesEnding: Command = {
    name: "rules ending",
    positionals: [],
    options: { days: { type: "string", help: `days to look ahead (default ${DEFAULT_DAYS})` } },
    summary: "list the rules that have ended or end within some days, and who asked for them",
    async run(context) {
        const days = Number(textOption(context, "days") ?? DEFAULT_DAYS);
        if (!Number.isFinite(days) || days < 0) {
            context.note("--days takes a number of days");
            return exitCodes.usage;
        }
        const rules = await readAllRules(context);
        if (rules.isErr) {
            return reportReadFailure(context, rules.error);
        }
        const limit = context.clock() + days * MILLISECONDS_PER_DAY;
        const retired = listRetired(rules.value);
        const ending = rules.value.filter(({ rule: { end } }) =>
            (end.untilMilliseconds ?? Infinity) <= limit || (end.feature !== undefined && retired.has(end.feature))
        );
        printRows(context, columns, ending);
        return exitCodes.done;
    },
};
