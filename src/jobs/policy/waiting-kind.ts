/**
 * Kinds of ready tasks: the same stands against tasks of one kind on each worker of a pool.
 */
import { gangMembersOf, stepProgressOf } from "../job-table/job-table.js";
import { isServing } from "../job-table/occupancy.js";
import type { Task } from "../job-table/task.js";
import { isSuspect } from "./crashes.js";
import { expectedEndIfStarted } from "./forecast.js";
import { isLate, isOverdue } from "./order.js";
import { isPausing } from "./preemption.js";
import { assessStarvation, isHalfEmpty } from "./starvation.js";
import type { PoolSituation } from "./waiting.js";

/** Returns a function that names the kind of a pool's tasks, until the pool changes. */
export function createKinds(pool: PoolSituation, now: number): (task: Task) => string {
    const { candidates, durations, queues } = pool;
    const isPoolHalfEmpty = isHalfEmpty(candidates);
    const reservations = candidates.flatMap(({ reservation }) => reservation ?? []);
    const reservingSteps = new Set(reservations.map(({ step }) => step));

    /** Whether what stands against a task depends on its own step, not only on what the step asks for. */
    const isKindOfItsOwn = (task: Task): boolean =>
        task.step.limitPerWorker > 0 || reservingSteps.has(stepProgressOf(task))
        || task.step.isGang && gangMembersOf(task).some(isSuspect);

    return task => {
        const { entry, key, step, stepIndex } = task;
        const { image, isFiller, isGang, isLasting, requiredLabel, size } = step;
        const expectedEnd = expectedEndIfStarted(step, durations, now);
        const isTaskLate = () => isLate(task, queues, durations, now);
        const starvation = assessStarvation(task, { isPoolHalfEmpty, isLate: isTaskLate }, now);
        const bindingReservations = reservations.reduce(
            (count, { expectedAtMilliseconds }) => count + (expectedEnd > expectedAtMilliseconds ? 1 : 0),
            0,
        );
        const own = isKindOfItsOwn(task)
            ? `${entry.id}.${task.occurrence.number}.${stepIndex} ${isSuspect(task) ? key : ""}`
            : "";
        // The image comes last, because it may contain anything.
        return `${size.millicores} ${size.memoryMegabytes} ${size.accelerators} ${isFiller} ${isGang} ${isLasting} ${
            isServing(step)
        } ${isOverdue(task, now)} ${isPausing(task, now)} ${
            isSuspect(task)
        } ${starvation} ${bindingReservations} ${own} ${JSON.stringify(requiredLabel ?? "")} ${image}`;
    };
}
