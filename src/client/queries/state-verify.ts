/**
 * `state verify [FILE]`: checks the invariants of the ledgers as they are, or of an exported file.
 */
import type { Result } from "true-myth/result";
import type { Failure } from "../../core/errors.js";
import { parseJson } from "../../core/parse.js";
import { verifyLedgers } from "../../operator/messages.js";
import { ExportedState } from "../../scheduler/queries/export.js";
import { verifyState } from "../../scheduler/queries/verify.js";
import type { Verification, Violation } from "../../scheduler/queries/verify.js";
import type { Command, CommandContext } from "../command.js";
import { exitCodes } from "../exit.js";
import { printRows, reportReadFailure } from "../report.js";
import type { Column } from "../table.js";

const columns: readonly Column<Violation>[] = [
    { heading: "INVARIANT", cell: ({ invariant }) => invariant },
    { heading: "CELL", cell: ({ cell }) => cell },
    { heading: "SUBJECT", cell: ({ subject }) => subject },
    { heading: "WHAT", cell: ({ message }) => message },
];

export const stateVerify: Command = {
    name: "state verify",
    positionals: ["[FILE]"],
    options: {},
    summary: "check the ledgers' invariants, as they are or in an exported FILE (without workers and rules)",
    async run(context) {
        const verified = await verify(context);
        if (verified.isErr) {
            return reportReadFailure(context, verified.error);
        }
        const { cells, tasks, placed, violations } = verified.value;
        printRows(context, columns, violations);
        context.note(`${violations.length} violations in ${cells} cells, ${tasks} tasks, ${placed} of them placed`);
        return violations.length === 0 ? exitCodes.done : exitCodes.failed;
    },
};

async function verify(context: CommandContext): Promise<Result<Verification, Failure>> {
    const [file] = context.positionals;
    if (file === undefined) {
        return context.call(verifyLedgers, {});
    }
    const text = await context.readFile(file);
    return text
        .andThen(content => parseJson(ExportedState, content, file))
        .map(state => verifyState({ state }));
}
