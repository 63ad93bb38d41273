/**
 * `status`: lists the system's own processes.
 */
import { getMemberName } from "../../membership/member.js";
import { listStatus } from "../../operator/messages.js";
import type { ProcessStatus } from "../../operator/messages.js";
import type { Command } from "../command.js";
import { exitCodes } from "../exit.js";
import { printRows, reportReadFailure } from "../report.js";
import type { Column } from "../table.js";

const columns: readonly Column<ProcessStatus>[] = [
    { heading: "PROCESS", cell: ({ member }) => getMemberName(member) },
    { heading: "DATA CENTRE", cell: ({ member }) => member.dataCentre },
    { heading: "MEMBER", cell: ({ member }) => member.state },
    { heading: "READY", cell: ({ status }) => status === undefined ? "no answer" : status.ready ? "yes" : "no" },
    {
        heading: "REVISION",
        cell: ({ member, status }) => status?.configurationRevision ?? member.configurationRevision,
    },
    { heading: "STORE", cell: ({ status }) => status === undefined ? "-" : status.storeReachable ? "reached" : "lost" },
    { heading: "CELLS", cell: ({ status }) => status?.cells.map(({ cell }) => cell).join(",") ?? "-" },
];

export const status: Command = {
    name: "status",
    positionals: [],
    options: {},
    watchable: true,
    summary: "list the system's processes: ready, revision in force, cells owned",
    async run(context) {
        const answer = await context.call(listStatus, {});
        if (answer.isErr) {
            return reportReadFailure(context, answer.error);
        }
        const { processes } = answer.value;
        printRows(context, columns, processes);
        const ready = processes.filter(process => process.status?.ready === true).length;
        context.note(`${ready} of ${processes.length} processes ready`);
        return ready === processes.length ? exitCodes.done : exitCodes.partial;
    },
};
