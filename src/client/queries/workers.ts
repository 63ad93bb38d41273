/**
 * `workers`: lists workers.
 */
import type { WorkerSummary } from "../../core/messages/operator.js";
import { listWorkers } from "../../operator/messages.js";
import type { Command } from "../command.js";
import { printRows, reportReadFailure, reportSilent } from "../report.js";
import type { Column } from "../table.js";

const BYTES_PER_GIGABYTE = 1e9;

const columns: readonly Column<WorkerSummary>[] = [
    { heading: "WORKER", cell: worker => worker.worker },
    { heading: "CELL", cell: worker => worker.cell },
    { heading: "RACK", cell: worker => worker.rack },
    { heading: "STATE", cell: worker => worker.state },
    { heading: "SLOTS", cell: worker => `${worker.tasks}/${worker.slots}` },
    { heading: "CORES", cell: worker => `${worker.coresReserved}/${worker.cores}` },
    {
        heading: "MEMORY GB",
        cell: worker => `${toGigabytes(worker.memoryReservedBytes)}/${toGigabytes(worker.memoryBytes)}`,
    },
    { heading: "REASON", cell: worker => worker.reason },
];

function toGigabytes(bytes: number): string {
    return (bytes / BYTES_PER_GIGABYTE).toFixed(1);
}

export const workers: Command = {
    name: "workers",
    positionals: [],
    options: {},
    watchable: true,
    summary: "list workers: state, room taken and the reason where one gets no new work",
    async run(context) {
        const answer = await context.call(listWorkers, {});
        if (answer.isErr) {
            return reportReadFailure(context, answer.error);
        }
        printRows(context, columns, answer.value.workers);
        return reportSilent(context, answer.value.silent);
    },
};
