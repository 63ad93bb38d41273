/**
 * `trace`: puts all that the processes logged about one request or job in order.
 */
import { traceEvents } from "../../jobs/trace.js";
import type { EventLine } from "../../jobs/trace.js";
import type { Command } from "../command.js";
import { exitCodes } from "../exit.js";
import { reportReadFailure } from "../report.js";

export const trace: Command = {
    name: "trace",
    positionals: ["ID", "LOG-FILE..."],
    options: {},
    summary: "put the logged events of one request or job in order, with what happened around it; reads files only",
    async run(context) {
        const [id = "", ...files] = context.positionals;
        const lines: string[] = [];
        for (const file of files) {
            const text = await context.readFile(file);
            if (text.isErr) {
                return reportReadFailure(context, text.error);
            }
            for (const line of text.value.split("\n")) {
                lines.push(line);
            }
        }
        const { around, own, unreadableLines } = traceEvents(id, lines);
        if (unreadableLines > 0) {
            context.note(`${unreadableLines} lines are no events and were left out`);
        }
        if (own.length === 0) {
            context.note(`no event in ${files.length} files is about ${id}`);
            return exitCodes.notFound;
        }
        if (context.json) {
            context.print(JSON.stringify({ own, around }));
            return exitCodes.done;
        }
        context.print(`${own.length} events about ${id}:`);
        own.forEach(event => context.print(formatEvent(event)));
        context.print(`${around.length} events around it:`);
        around.forEach(event => context.print(formatEvent(event)));
        return exitCodes.done;
    },
};

/** A longer value is cut off, such as the settings at a start; `--json` prints it whole. */
const LONGEST_VALUE_CHARACTERS = 120;

function formatEvent({ time, event, instance = "", ...fields }: EventLine): string {
    const details = Object.entries(fields).map(([name, value]) => {
        const text = typeof value === "string" ? value : JSON.stringify(value);
        return `${name}=${
            text.length > LONGEST_VALUE_CHARACTERS ? `${text.slice(0, LONGEST_VALUE_CHARACTERS)}...` : text
        }`;
    });
    return `  ${time.slice(11)}  ${instance.padEnd(24)}  ${event.padEnd(20)}  ${details.join(" ")}`;
}
