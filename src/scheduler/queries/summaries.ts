/**
 * Tasks and workers as operators see them.
 */
import type { TaskSummary, WorkerSummary } from "../../core/messages/operator.js";
import type { Cell } from "../cell/cell.js";
import { sumReservations } from "../cell/reservations.js";
import type { Task } from "../ledger/task.js";

/** Summarises a task of an owned cell. */
export function summariseTask(cell: Cell, task: Task): TaskSummary {
    const spec = cell.ledger.specOf(task);
    const link = task.worker === undefined ? undefined : cell.links.get(task.worker);
    return {
        taskId: task.taskId,
        rule: spec.rule,
        team: spec.team,
        kind: spec.kind,
        state: task.state,
        cell: cell.name,
        attempt: task.attempt,
        ...(task.worker === undefined ? {} : { worker: task.worker }),
        progress: Math.max(task.checkpointProgress, link?.progress.get(task.taskId) ?? 0),
        requester: spec.requester,
        submittedAtMilliseconds: task.submittedAtMilliseconds,
        reason: task.reason,
    };
}

/** Summarises the workers of an owned cell. */
export function summariseWorkers(cell: Cell, now: number): WorkerSummary[] {
    const reservations = sumReservations(cell.ledger);
    const quarantined = new Set(cell.policy.quarantined(now));
    return cell.view(now).workers.map(({ instance, state, tasks }) => {
        const { name, dataCentre, rack, shape } = instance;
        const reserved = reservations.get(name);
        const drain = cell.ledger.drains.get(name);
        return {
            worker: name,
            cell: cell.name,
            dataCentre,
            rack,
            state: state === "live" && quarantined.has(name) ? "quarantined" : state,
            tasks: tasks.length,
            slots: shape.slots,
            coresReserved: reserved?.cores ?? 0,
            cores: shape.cores,
            memoryReservedBytes: reserved?.memoryBytes ?? 0,
            memoryBytes: shape.memoryBytes,
            reason: drain === undefined ? "" : `drained by ${drain.by}`,
        };
    });
}
