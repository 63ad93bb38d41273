/**
 * `rules check`: finds every error of a rules file, without a gateway.
 */
import { safeParseRules } from "../../rules/parse.js";
import type { Command } from "../command.js";
import { exitCodes } from "../exit.js";
import { reportFailure, reportRejected } from "../report.js";
import { readRulesFile } from "../team.js";

export const rulesCheck: Command = {
    name: "rules check",
    positionals: ["FILE"],
    options: {},
    summary: "find every error of a rules file; asks no gateway",
    async run(context) {
        const read = await readRulesFile(context);
        if (read.isErr) {
            return reportFailure(context, read.error);
        }
        const parsed = safeParseRules(read.value.text, read.value);
        if (!parsed.success) {
            return reportRejected(context, parsed.failures);
        }
        context.print(
            context.json
                ? JSON.stringify({ outcome: "sound", rules: parsed.rules })
                : `${parsed.rules.length} ${parsed.rules.length === 1 ? "rule" : "rules"}, no errors`,
        );
        return exitCodes.done;
    },
};
