/**
 * `drain`: takes new work away from a worker and moves its batch tasks off it, or ends that.
 */
import { drainWorkers } from "../../operator/messages.js";
import type { Command } from "../command.js";
import { exitCodes } from "../exit.js";
import { reportFailure, reportSilent } from "../report.js";

export const drain: Command = {
    name: "drain",
    positionals: ["WORKER"],
    options: { end: { type: "boolean", help: "give the worker new work again" } },
    summary: "take new work away from a worker and move its batch tasks off it",
    async run(context) {
        const [worker = ""] = context.positionals;
        const answer = await context.call(drainWorkers, {
            worker,
            drain: context.values["end"] !== true,
            by: context.by,
        });
        if (answer.isErr) {
            return reportFailure(context, answer.error);
        }
        if (!answer.value.known) {
            context.note(`no cell has a worker ${worker}`);
            return answer.value.silent.length > 0 ? reportSilent(context, answer.value.silent) : exitCodes.notFound;
        }
        const text = context.values["end"] === true ? "gets new work again" : "is being drained";
        context.print(
            context.json ? JSON.stringify(answer.value) : `${worker} ${text}; follow it with: workers --watch`,
        );
        return exitCodes.done;
    },
};
