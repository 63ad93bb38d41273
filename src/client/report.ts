/**
 * What several commands say in the same way.
 */
import { formatFailure } from "../core/errors.js";
import type { Failure, FailureCode } from "../core/errors.js";
import type { RuleChange } from "../rules/diff.js";
import type { CommandContext } from "./command.js";
import { exitCodes } from "./exit.js";
import type { ExitCode } from "./exit.js";
import { formatTable } from "./table.js";
import type { Column } from "./table.js";

const codesOfFailures: Partial<Record<FailureCode, ExitCode>> = {
    "invalid-input": exitCodes.usage,
    "not-found": exitCodes.notFound,
    "conflict": exitCodes.conflict,
    "timeout": exitCodes.unknown,
    "ambiguous": exitCodes.unknown,
};

/** Reports the failure of a command that only reads: nothing was changed, whatever the failure. */
export function reportReadFailure(context: CommandContext, failure: Failure): ExitCode {
    const code = reportFailure(context, failure);
    return code === exitCodes.unknown ? exitCodes.failed : code;
}

/** Reports a failure and gives the exit code for it. */
export function reportFailure(context: CommandContext, failure: Failure): ExitCode {
    if (context.json) {
        context.print(JSON.stringify({ failure }));
    }
    context.note(formatFailure(failure));
    return codesOfFailures[failure.code] ?? exitCodes.failed;
}

/** Prints errors of a rules file, a line each: `FILE:LINE:COLUMN: message`. */
export function reportRejected(context: CommandContext, failures: readonly Failure[]): ExitCode {
    if (context.json) {
        context.print(JSON.stringify({ outcome: "rejected", failures }));
    }
    for (const failure of failures) {
        context.note(`${failure.step}: ${failure.message}`);
    }
    context.note(`${failures.length} ${failures.length === 1 ? "error" : "errors"}; nothing was changed`);
    return exitCodes.rejected;
}

/** Names the processes that gave no answer. */
export function reportSilent(context: CommandContext, silent: readonly string[]): ExitCode {
    if (silent.length === 0) {
        return exitCodes.done;
    }
    context.note(`no answer from ${silent.join(", ")}; what they know is missing`);
    return exitCodes.partial;
}

/** Prints changes of rules like a diff. */
export function printChanges(context: CommandContext, changes: readonly RuleChange[]): void {
    for (const { before, after } of changes) {
        if (before !== undefined) {
            context.print(`- ${before}`);
        }
        if (after !== undefined) {
            context.print(`+ ${after}`);
        }
    }
}

/** Prints rows as a table, or as one JSON document. */
export function printRows<Row>(context: CommandContext, columns: readonly Column<Row>[], rows: readonly Row[]): void {
    if (context.json) {
        context.print(JSON.stringify(rows));
        return;
    }
    formatTable(columns, rows).forEach(line => context.print(line));
}
