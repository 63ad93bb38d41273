/**
 * A pool whose lasting tasks leave little room, played in small steps of time without a network.
 */
import assert from "node:assert/strict";
import { POOL } from "../../bench/colocation/jobs.js";
import {
    confirmStart,
    recordAttemptEnd,
    recordRunningAttempt,
    registerAttempt,
} from "../../src/jobs/job-table/attempts.js";
import type { JobTable } from "../../src/jobs/job-table/job-table.js";
import { acceptJob, confirmJob } from "../../src/jobs/job-table/lifecycle.js";
import type { Attempt, Task } from "../../src/jobs/job-table/task.js";
import type { Queue } from "../../src/jobs/model/catalog.js";
import type { ListedWorker } from "../../src/jobs/model/worker.js";
import { createDurations } from "../../src/jobs/policy/durations.js";
import { createInterference } from "../../src/jobs/policy/interference.js";
import { planPass } from "../../src/jobs/policy/pass.js";
import type { CellSnapshot, PassPlan } from "../../src/jobs/policy/pass.js";
import { createEmptyJobTable, describeStep, describeWorker, NOW, QUEUE, tasksOfStep } from "./builders.js";

/** Time that a worker takes to stop an attempt, in milliseconds. */
const STOP_MILLISECONDS = 400;
const STEP_MILLISECONDS = 20;
/** Time from the start of a lasting task until it is at work. */
const STARTUP_MILLISECONDS = 300;
const TASKS_PER_LASTING_JOB = 10;
const SHORT_MILLISECONDS = 500;
/** Time in which a job of short tasks has to end. */
const OBJECTIVE_MILLISECONDS = SHORT_MILLISECONDS * QUEUE.stretchFactor + QUEUE.latencyObjectiveMilliseconds;

/** Queue of a priority other than that of `QUEUE`. */
export function queueOfPriority(priority: number): Queue {
    return priority === QUEUE.priority ? QUEUE : { ...QUEUE, name: `priority-${priority}`, priority };
}

/** Adds an accepted and confirmed job of one step. */
export function addJob(
    jobTable: JobTable,
    id: string,
    fields: Parameters<typeof describeStep>[0],
    at: number,
    queue = QUEUE.name,
): Task[] {
    const submission = { payload: "", steps: [describeStep(fields)] };
    acceptJob(jobTable, { id, queue, submission, acceptedAtMilliseconds: at });
    confirmJob(jobTable, id, at);
    return tasksOfStep(jobTable, id);
}

/** Starts a task and reports it as running with a percentage. */
export function runAttempt(
    jobTable: JobTable,
    task: Task,
    worker: string,
    startedAt: number,
    percent: number,
    number = 1,
): Attempt {
    const running = { task: task.key, attempt: number, checkpoint: "", percent, measurement: 0 };
    const attempt = recordRunningAttempt(jobTable, worker, running, startedAt);
    assert.ok(attempt !== undefined);
    return attempt;
}

/** Decides a pass on a table and its workers. */
export function decidePass(
    jobTable: JobTable,
    workers: readonly ListedWorker[],
    now: number,
    changed: Partial<CellSnapshot> = {},
): PassPlan {
    return planPass({
        epoch: jobTable.epoch,
        startableTasks: [...jobTable.readyTasks],
        pools: new Map([[POOL, workers.map(worker => ({ worker, load: jobTable.occupancy.load(worker.id) }))]]),
        queues: new Map([0, 1, 2].map(queueOfPriority).map(queue => [queue.name, queue])),
        reviewedWorkers: [],
        attemptsToStop: jobTable.attemptsToStop,
        interference: createInterference(),
        durations: createDurations(),
        startLimit: Infinity,
        stopLimitMilliseconds: STOP_MILLISECONDS,
        mayGiveWay: true,
        mayStartCopies: false,
        isUnderReview: () => false,
        ...changed,
    }, now);
}

/** A pool that is played. */
export interface ScarceRoomPlay {
    /** Submits a job of short tasks in each interval, for a time. */
    play(load: ShortLoad): void;
    /** Replaces the owner by one that knows the lasting jobs and what the workers report. */
    takeOver(): void;
    /** Shares of the short jobs, of those that were due, that ended on time, and of the time that lasting tasks were at work. */
    onTimeShare(): number;
    atWorkShare(): number;
    /** Largest number of tasks of one lasting job that were away at the same time. */
    mostAway(): number;
    /** Stops of lasting tasks: which, when, and for how long it was not at work. */
    readonly stops: readonly LastingStop[];
    now(): number;
}

/** Short jobs that arrive at regular intervals, in milliseconds. */
export interface ShortLoad {
    readonly taskCount: number;
    readonly cores: number;
    readonly intervalMilliseconds: number;
    readonly milliseconds: number;
}

/** A lasting task that gave way. */
export interface LastingStop {
    readonly key: string;
    readonly atMilliseconds: number;
    backAtMilliseconds: number | undefined;
}

/** Options of a play. */
export interface ScarceRoomOptions {
    readonly workers: number;
    readonly cores: number;
    readonly lastingPerWorker: number;
    readonly lastingCores: number;
    readonly disruptionBudget: number;
    readonly mayGiveWay: boolean;
}

/** Creates a pool that lasting tasks have filled a minute ago. */
export function createScarceRoom(options: ScarceRoomOptions): ScarceRoomPlay {
    const { disruptionBudget, lastingCores, lastingPerWorker, mayGiveWay } = options;
    const workers = Array.from(
        { length: options.workers },
        (_, index) => describeWorker(`worker-${index}`, options.cores),
    );
    const lastingCount = options.workers * lastingPerWorker;
    const lastingStep = {
        taskCount: TASKS_PER_LASTING_JOB,
        cores: lastingCores,
        isLasting: true,
        disruptionBudget,
    };
    const jobIds = Array.from({ length: lastingCount / TASKS_PER_LASTING_JOB }, (_, index) => `lasting-${index}`);
    let jobTable = createEmptyJobTable();
    let now = NOW;
    let lasting = jobIds.flatMap(id => addJob(jobTable, id, lastingStep, now - 60_000));
    lasting.forEach((task, index) =>
        runAttempt(jobTable, task, `worker-${index % options.workers}`, now - 60_000, 100)
    );
    const endsAt = new Map<Attempt, number>();
    const submitted = new Map<string, number>();
    const onTime = new Set<string>();
    const stops: LastingStop[] = [];
    let [seconds, atWorkSeconds, mostAway, jobCount] = [0, 0, 0, 0];

    const isAtWork = ({ attempts }: Task): boolean =>
        attempts.some(attempt => attempt.percent === 100 && !jobTable.attemptsToStop.has(attempt));

    const endAttempts = (): void => {
        for (const [attempt, endAt] of endsAt) {
            if (now < endAt) {
                continue;
            }
            endsAt.delete(attempt);
            const { number, task, worker } = attempt;
            const isStopped = jobTable.attemptsToStop.has(attempt);
            if (task.step.isLasting && !isStopped) {
                runAttempt(jobTable, task, worker, now, 100, number);
                continue;
            }
            const end = isStopped ? "stopped" : "done";
            recordAttemptEnd(
                jobTable,
                worker,
                { sequence: 1, task: task.key, attempt: number, end, checkpoint: "" },
                now,
            );
            const { acceptedAtMilliseconds: submittedAt, state } = task.entry;
            if (state === "completed" && now - submittedAt <= OBJECTIVE_MILLISECONDS) {
                onTime.add(task.entry.id);
            }
        }
    };

    const decide = (): void => {
        const { moves, starts } = decidePass(jobTable, workers, now, { mayGiveWay });
        for (const { attempt } of moves) {
            jobTable.attemptsToStop.add(attempt);
            attempt.phase = "stopping";
            attempt.task.gaveWayAtMilliseconds = now;
            endsAt.set(attempt, now + STOP_MILLISECONDS);
            stops.push({ key: attempt.task.key, atMilliseconds: now, backAtMilliseconds: undefined });
        }
        for (const attempt of starts) {
            registerAttempt(jobTable, attempt);
            confirmStart(jobTable, attempt, now, now);
            endsAt.set(attempt, now + (attempt.task.step.isLasting ? STARTUP_MILLISECONDS : SHORT_MILLISECONDS));
        }
    };

    const measure = (): void => {
        const atWork = lasting.filter(isAtWork);
        seconds += lasting.length;
        atWorkSeconds += atWork.length;
        for (const id of jobIds) {
            const here = atWork.filter(({ entry }) => entry.id === id).length;
            mostAway = Math.max(mostAway, TASKS_PER_LASTING_JOB - here);
        }
        const keys = new Set(atWork.map(({ key }) => key));
        stops.filter(({ backAtMilliseconds: back, key }) => back === undefined && keys.has(key))
            .forEach(stop => (stop.backAtMilliseconds = now));
    };

    return {
        stops,
        now: () => now,
        onTimeShare() {
            const due = [...submitted].filter(([, at]) => now - at > OBJECTIVE_MILLISECONDS);
            return due.filter(([id]) => onTime.has(id)).length / due.length;
        },
        atWorkShare: () => atWorkSeconds / seconds,
        mostAway: () => mostAway,
        play({ cores, intervalMilliseconds, milliseconds, taskCount }) {
            const end = now + milliseconds;
            let nextAt = now;
            for (; now < end; now += STEP_MILLISECONDS) {
                if (now >= nextAt) {
                    const id = `short-${jobCount++}`;
                    nextAt += intervalMilliseconds;
                    submitted.set(id, now);
                    addJob(jobTable, id, { taskCount, cores, estimateMilliseconds: SHORT_MILLISECONDS }, now);
                }
                endAttempts();
                decide();
                measure();
            }
        },
        takeOver() {
            const running = lasting.flatMap(({ attempts }) => attempts);
            jobTable = createEmptyJobTable();
            lasting = jobIds.flatMap(id => addJob(jobTable, id, lastingStep, now));
            const tasks = new Map(lasting.map(task => [task.key, task]));
            endsAt.clear();
            for (const { number, phase, task: { key }, worker } of running) {
                const task = tasks.get(key);
                // A stop that the former owner has ordered is carried out before the new one sends any order.
                if (task !== undefined && phase !== "stopping") {
                    runAttempt(jobTable, task, worker, now, 100, number);
                }
            }
        },
    };
}
