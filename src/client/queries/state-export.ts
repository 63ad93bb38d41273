/**
 * `state export`: prints the ledgers of all cells as one JSON document.
 */
import { exportLedgers } from "../../operator/messages.js";
import type { Command } from "../command.js";
import { exitCodes } from "../exit.js";
import { reportReadFailure } from "../report.js";

export const stateExport: Command = {
    name: "state export",
    positionals: [],
    options: {},
    summary: "print the ledgers of all cells as one JSON document, to be kept or verified",
    async run(context) {
        const answer = await context.call(exportLedgers, {});
        if (answer.isErr) {
            return reportReadFailure(context, answer.error);
        }
        context.print(JSON.stringify(answer.value));
        context.note(`${answer.value.cells.length} cells`);
        return exitCodes.done;
    },
};
