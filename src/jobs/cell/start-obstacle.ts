/**
 * Why a start must not be sent any more.
 *
 * An attempt is placed once, but its order may wait for a connection, or be repeated after the worker was silent. Meanwhile jobs end,
 * workers drain and queues move, so that each order is checked when it is about to be sent.
 */
import { gangMembersOf } from "../job-table/job-table.js";
import type { Attempt } from "../job-table/task.js";
import { FINAL_STATES } from "../model/job.js";
import { fitsInto } from "../model/size.js";
import type { CellContext } from "./context.js";
import type { CellWorker } from "./worker.js";

/** A change since the attempt was placed that stands against its start. */
export type StartObstacle =
    | "job-ended"
    | "task-done"
    /** The attempt has a stop order, such as a copy of a task that is done. */
    | "stop-requested"
    /** Another member of the gang has no attempt in this run any more. */
    | "gang-incomplete"
    | "worker-draining"
    /** The operators have closed the data centre of the worker. */
    | "data-centre-closed"
    | "worker-unlisted"
    /** The worker has come back without the label that the step requires. */
    | "label-missing"
    /** The operators have removed the queue, or given it other workers. */
    | "queue-moved"
    /** The capacity of the worker has shrunk. */
    | "no-room";

/** Finds what stands against sending the start of an attempt that has not been confirmed; absent if nothing does. */
export function findStartObstacle(
    { catalog, closures, jobTable, settings }: Pick<CellContext, "catalog" | "closures" | "jobTable" | "settings">,
    { listed, unlistedSinceMilliseconds }: CellWorker,
    attempt: Attempt,
    now: number,
): StartObstacle | undefined {
    const { entry, phase, step } = attempt.task;
    if (FINAL_STATES.has(entry.state)) {
        return "job-ended";
    }
    if (phase === "done") {
        return "task-done";
    }
    if (jobTable.attemptsToStop.has(attempt)) {
        return "stop-requested";
    }
    if (step.isGang && !isGangComplete(attempt)) {
        return "gang-incomplete";
    }
    if (listed.isDraining) {
        return "worker-draining";
    }
    if (closures.isClosed(listed.dataCentre)) {
        return "data-centre-closed";
    }
    if (
        unlistedSinceMilliseconds !== undefined && now - unlistedSinceMilliseconds >= settings.unlistedGraceMilliseconds
    ) {
        return "worker-unlisted";
    }
    if (catalog().queues.get(entry.queue)?.pool !== listed.pool) {
        return "queue-moved";
    }
    if (step.requiredLabel !== undefined && !listed.labels.includes(step.requiredLabel)) {
        return "label-missing";
    }
    // The attempt itself is part of the load.
    return fitsInto(jobTable.occupancy.load(listed.id).used, listed.capacity) ? undefined : "no-room";
}

function isGangComplete({ number, task }: Attempt): boolean {
    return gangMembersOf(task).every(({ attempts }) => attempts.some(other => other.number === number));
}
