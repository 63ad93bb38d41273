/**
 * `rules check`: finds every error of a rules file, without a gateway.
 */
import { safeParseRules } from "../../rules/parse.js";
import type { Command } from "../command.js";
import { exitCodes } from "../exit.js";
import { reportFailure, reportRejected } from "../report.js";
import { teamOfFile } from "../team.js";

export const rulesCheck: Command = {
    name: "rules check",
    positionals: ["FILE"],
    options: {},
    summary: "find every error of a rules file; asks no gateway",
    async run(context) {
        const [file = ""] = context.positionals;
        const text = await context.readFile(file);
        if (text.isErr) {
            return reportFailure(context, text.error);
        }
        const parsed = safeParseRules(text.value, { team: teamOfFile(file), file });
        if (!parsed.success) {
            return reportRejected(context, parsed.failures);
        }
        context.print(
            context.json
                ? JSON.stringify({ outcome: "sound", rules: parsed.rules })
                : `${parsed.rules.length} rules, no errors`,
        );
        return exitCodes.done;
    },
};
