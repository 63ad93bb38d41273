/**
 * Transitions of tasks in a ledger's draft. Each takes effect when the draft is committed.
 */
import type { AttemptStatus } from "../../platform/worker.js";
import type { Ledger } from "../ledger/ledger.js";
import { ENDED_STATES, HOLDING_STATES, WAITING_STATES } from "../ledger/task.js";
import type { Task } from "../ledger/task.js";

/** Waits after failed attempts. */
export interface BackOff {
    readonly backOffMilliseconds: number;
    readonly longestBackOffMilliseconds: number;
}

/** Wait after a number of failures in a row, in milliseconds. */
export function waitAfterFailures(backOff: BackOff, failures: number): number {
    return Math.min(backOff.longestBackOffMilliseconds, backOff.backOffMilliseconds * 2 ** (failures - 1));
}

/** Gives a waiting task room on a worker; its next attempt starts after the commit. */
export function placeTask(ledger: Ledger, task: Task, worker: string, now: number): void {
    ledger.put({
        ...task,
        state: "starting",
        attempt: task.attempt + 1,
        worker,
        throttleShare: 1,
        sinceMilliseconds: now,
        reason: "",
    });
}

/** Ends a task for good: at once where it waits, after its stop has been confirmed where it may run. */
export function endTask(ledger: Ledger, task: Task, reason: string, now: number): void {
    if (WAITING_STATES.has(task.state) || task.state === "parked") {
        recordEnd(ledger, { ...task, failures: 0 }, "cancelled", { reason, now });
    }
    else if (HOLDING_STATES.has(task.state) && task.state !== "stopping") {
        ledger.put({ ...task, state: "stopping", sinceMilliseconds: now, reason });
    }
}

/** Begins to move a batch task off its worker with a checkpoint. */
export function evictTask(ledger: Ledger, task: Task, reason: string, now: number): void {
    if (task.state === "running") {
        ledger.put({ ...task, state: "checkpointing", sinceMilliseconds: now, reason });
    }
}

/** Sets a task aside that cannot run. */
export function parkTask(ledger: Ledger, task: Task, reason: string, now: number): void {
    if (WAITING_STATES.has(task.state)) {
        ledger.put({ ...task, state: "parked", sinceMilliseconds: now, reason });
    }
}

/** Limits the cores of a running task. */
export function throttleTask(ledger: Ledger, task: Task, share: number, reason: string): void {
    if (task.state === "running" && task.throttleShare !== share) {
        ledger.put({ ...task, throttleShare: share, reason: share < 1 ? reason : "" });
    }
}

/** Takes in that a worker runs an attempt. */
export function observeRunning(ledger: Ledger, task: Task, now: number): void {
    if (task.state === "starting") {
        ledger.put({ ...task, state: "running", sinceMilliseconds: now });
    }
}

/** Takes in that a worker refused an attempt: it does not run and never will. */
export function observeRefused(ledger: Ledger, task: Task, reason: string, backOff: BackOff, now: number): void {
    freeWorker(ledger, task, { reason: `refused by ${task.worker ?? "its worker"}: ${reason}`, now }, {
        notBeforeMilliseconds: now + backOff.backOffMilliseconds,
    });
}

/** Takes in that an attempt has ended, in whatever way; progress is kept from its checkpoint. */
export function observeEnded(ledger: Ledger, task: Task, status: AttemptStatus, backOff: BackOff, now: number): void {
    const checkpointChanges = status.checkpoint === undefined
        ? {}
        : { checkpoint: status.checkpoint, checkpointProgress: Math.max(task.checkpointProgress, status.progress) };
    switch (status.state) {
        case "finished": {
            finish(ledger, task, backOff, now);
            return;
        }
        case "failed": {
            fail(ledger, { ...task, ...checkpointChanges }, status.reason ?? "no reason given", backOff, now);
            return;
        }
        case "stopped": {
            freeWorker(ledger, { ...task, ...checkpointChanges }, {
                reason: task.reason || "stopped by its worker",
                now,
            });
            return;
        }
        case "lapsed": {
            freeWorker(ledger, { ...task, ...checkpointChanges }, { reason: "its lease lapsed", now });
            return;
        }
        case "running":
        case "checkpointing":
            return;
    }
}

/** Takes in that an attempt is no longer anywhere: its worker restarted, left, or its lease has provably lapsed. */
export function observeLost(ledger: Ledger, task: Task, reason: string, now: number): void {
    freeWorker(ledger, task, { reason, now });
}

function finish(ledger: Ledger, task: Task, backOff: BackOff, now: number): void {
    const spec = ledger.specOf(task);
    if (spec.kind === "service" && task.state !== "stopping") {
        fail(ledger, task, "it ended by itself", backOff, now);
        return;
    }
    recordEnd(ledger, task, "finished", { reason: "", now });
}

function fail(ledger: Ledger, task: Task, reason: string, backOff: BackOff, now: number): void {
    const spec = ledger.specOf(task);
    // A replica that has run for long was well; its failure is no sequel to the ones before.
    const wasStable = spec.kind === "service" && now - task.sinceMilliseconds >= backOff.longestBackOffMilliseconds;
    const failures = wasStable ? 1 : task.failures + 1;
    const wait = waitAfterFailures(backOff, failures);
    if (spec.kind === "batch" && failures > spec.retries && task.state !== "stopping") {
        ledger.put({
            ...withoutWorker(task),
            state: "parked",
            failures,
            sinceMilliseconds: now,
            reason: `failed: ${reason}`,
        });
        return;
    }
    freeWorker(ledger, { ...task, failures }, { reason: `failed: ${reason}`, now }, {
        notBeforeMilliseconds: now + wait,
    });
}

interface AttemptRelease {
    readonly reason: string;
    readonly now: number;
}

/** Frees the room of an attempt that has certainly ended. */
function freeWorker(ledger: Ledger, task: Task, { reason, now }: AttemptRelease, changes: Partial<Task> = {}): void {
    if (!HOLDING_STATES.has(task.state)) {
        return;
    }
    if (task.state === "stopping" || ledger.specOf(task).kind === "service") {
        // A replica is never moved: the plan admits another one with another id.
        const isStopped = task.state === "stopping";
        // Failures are handed on to the replacement only by a replica that was not well when it ended.
        const failures = isStopped || changes.notBeforeMilliseconds === undefined ? 0 : task.failures;
        recordEnd(ledger, { ...task, failures }, "cancelled", { reason: isStopped ? task.reason : reason, now });
        return;
    }
    const evicted = task.state === "checkpointing";
    ledger.put({
        ...withoutWorker(task),
        state: evicted || task.checkpoint !== undefined ? "evicted" : "pending",
        evictions: task.evictions + (evicted ? 1 : 0),
        throttleShare: 1,
        sinceMilliseconds: now,
        reason,
        ...changes,
    });
}

function recordEnd(ledger: Ledger, task: Task, state: "finished" | "cancelled", { reason, now }: AttemptRelease): void {
    const ended: Task = { ...withoutWorker(task), state, sinceMilliseconds: now, reason };
    delete ended.checkpoint;
    ledger.put(state === "finished" ? { ...ended, checkpointProgress: 1 } : ended);
}

/**
 * Forgets ended tasks that are older than the limit, and the oldest ones beyond the count, but for those that something
 * outside the ledger still refers to.
 */
export function removeEnded(
    ledger: Ledger,
    limits: EndedLimits,
    now: number,
    isReferenced: (taskId: string) => boolean,
): void {
    const ended = [...ledger.draft.values()].filter(task => ENDED_STATES.has(task.state))
        .sort((left, right) => right.sinceMilliseconds - left.sinceMilliseconds);
    for (const [index, task] of ended.entries()) {
        const isBeyondLimits = index >= limits.endedKeptAtMost
            || now - task.sinceMilliseconds >= limits.endedKeptMilliseconds;
        if (isBeyondLimits && !isReferenced(task.taskId)) {
            ledger.remove(task.taskId);
        }
    }
}

/** How long and how many ended tasks are kept. */
export interface EndedLimits {
    readonly endedKeptMilliseconds: number;
    readonly endedKeptAtMost: number;
}

function withoutWorker(task: Task): Task {
    const rest = { ...task };
    delete rest.worker;
    return rest;
}
