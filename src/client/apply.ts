/**
 * Applies with an outcome: calls are repeated under one apply id until an answer tells what became of them.
 */
import type { Result } from "true-myth/result";
import type { z } from "zod";
import type { Failure } from "../core/errors.js";
import type { Method } from "../core/method.js";
import { MILLISECONDS_PER_SECOND, pause } from "../core/time.js";
import { readSpread } from "../operator/messages.js";
import type { ApplyAnswer } from "../operator/messages.js";
import type { CommandContext } from "./command.js";
import { textOption } from "./command.js";
import { exitCodes } from "./exit.js";
import type { ExitCode } from "./exit.js";
import { printChanges, reportRejected } from "./report.js";

const ATTEMPTS = 4;
const RETRY_MILLISECONDS = 500;
const SPREAD_POLL_MILLISECONDS = 250;
const DEFAULT_SPREAD_WAIT_SECONDS = 30;

/** The option that says how long the spread of an apply is followed. */
export const spreadWaitOption = {
    type: "string",
    number: true,
    help: `seconds to follow the spread (default ${DEFAULT_SPREAD_WAIT_SECONDS}; 0: don't)`,
} as const;

/** Repeats an apply whose answer was lost; the gateway knows a repeat by its apply id. */
export async function callUntilSettled<Params extends z.ZodType>(
    context: CommandContext,
    method: Method<Params, typeof ApplyAnswer>,
    params: z.input<Params>,
): Promise<Result<ApplyAnswer, Failure>> {
    for (let attempt = 1;; attempt += 1) {
        const answer = await context.call(method, params);
        const lost = answer.isErr && (answer.error.code === "ambiguous" || answer.error.code === "timeout");
        if (!lost || attempt === ATTEMPTS || context.signal.aborted) {
            return answer;
        }
        context.note(`no answer (${answer.error.message}); asking again`);
        await pause(RETRY_MILLISECONDS, context.signal);
    }
}

/** Reports an apply and, where it was accepted, follows it until every process has it in force. */
export async function reportApplied(context: CommandContext, team: string, answer: ApplyAnswer): Promise<ExitCode> {
    switch (answer.outcome) {
        case "rejected":
            return reportRejected(context, answer.failures);
        case "conflict":
            return reportConflict(context, answer);
        case "accepted":
            return reportAccepted(context, team, answer);
    }
}

function reportConflict(context: CommandContext, answer: ApplyAnswer & { outcome: "conflict"; }): ExitCode {
    const { team, revision, appliedBy, appliedAtMilliseconds } = answer.current;
    if (context.json) {
        context.print(JSON.stringify(answer));
    }
    const at = new Date(appliedAtMilliseconds).toISOString();
    context.note(`conflict: ${appliedBy} changed the rules of ${team} at ${at} (revision ${revision})`);
    if (!context.json) {
        printChanges(context, answer.changesSinceBase);
    }
    context.note("nothing was changed; take these changes into your file and apply again");
    return exitCodes.conflict;
}

async function reportAccepted(
    context: CommandContext,
    team: string,
    answer: ApplyAnswer & { outcome: "accepted"; },
): Promise<ExitCode> {
    if (!context.json) {
        printChanges(context, answer.changes);
        context.print(`${team}: revision ${answer.revision} ${answer.changed ? "accepted" : "is in force already"}`);
    }
    const spread = await followSpread(context, team, answer.revision);
    if (context.json) {
        context.print(JSON.stringify({ ...answer, spread }));
    }
    return spread === undefined || spread.inForce === spread.processes ? exitCodes.done : exitCodes.partial;
}

type Spread = z.output<typeof readSpread.answer>;

async function followSpread(context: CommandContext, team: string, revision: number): Promise<Spread | undefined> {
    const waitSeconds = Number(textOption(context, "wait") ?? DEFAULT_SPREAD_WAIT_SECONDS);
    const limit = context.clock() + waitSeconds * MILLISECONDS_PER_SECOND;
    let last: Spread | undefined;
    while (waitSeconds > 0 && !context.signal.aborted) {
        const spread = await context.call(readSpread, { team, revision });
        if (spread.isOk) {
            noteProgress(context, last, spread.value);
            last = spread.value;
        }
        if (last?.inForce === last?.processes && last !== undefined || context.clock() >= limit) {
            break;
        }
        await pause(SPREAD_POLL_MILLISECONDS, context.signal);
    }
    const missing = [...last?.behind ?? [], ...last?.silent ?? []];
    if (missing.length > 0) {
        context.note(`not in force yet on ${missing.join(", ")}`);
    }
    return last;
}

function noteProgress(context: CommandContext, last: Spread | undefined, spread: Spread): void {
    if (last?.inForce !== spread.inForce || last.processes !== spread.processes) {
        context.note(`in force on ${spread.inForce} of ${spread.processes}`);
    }
}
