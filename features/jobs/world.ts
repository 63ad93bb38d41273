/**
 * State and functions that the steps on the stand-in of the users' platform share.
 */
import assert from "node:assert/strict";
import { QUEUE_PREFIX } from "../../stand-ins/users-platform/deployment.js";
import type { CallerAnswer, JobsProcess, UsersDeployment } from "../../stand-ins/users-platform/deployment.js";
import type { RunRecord } from "../../stand-ins/users-platform/worker.js";

/** A deployment, with the latest requests and answers of its callers. */
export interface PathWorld {
    usersPlatform: UsersDeployment;
    callerAnswer: CallerAnswer;
    answeredAfterMilliseconds: number;
    submittedBody: object;
    submittedId: string;
    leavingProcess: JobsProcess;
    /** Owner that the store does not answer. */
    cutOffProcess: JobsProcess;
    submissions: Map<string, CallerAnswer>;
    /** Time until the answer to each submission. */
    answerMilliseconds: Map<string, number>;
}

const POLL_MILLISECONDS = 25;
const SETTLED_MILLISECONDS = 30_000;
const TASK_MILLICORES = 1_500;

/** Waits for a condition; fails if it does not hold within the limit. */
export async function waitUntil(condition: () => Promise<boolean> | boolean, description: string): Promise<void> {
    const limit = performance.now() + SETTLED_MILLISECONDS;
    while (!await condition()) {
        assert.ok(performance.now() < limit, `not within ${SETTLED_MILLISECONDS} ms: ${description}`);
        await new Promise(resolve => setTimeout(resolve, POLL_MILLISECONDS));
    }
}

/** Describes a job of sequential steps, each with identical tasks. */
export function describeJob(steps: number, tasks: number, milliseconds: number, fails = false): object {
    return {
        spec: JSON.stringify({ milliseconds, millicores: TASK_MILLICORES, fails }),
        steps: Array.from({ length: steps }, (_, index) => ({
            count: tasks,
            cpu: TASK_MILLICORES,
            memMb: 100,
            estimateMs: milliseconds,
            ...(index === 0 ? {} : { after: [index - 1] }),
        })),
    };
}

/** Describes a job of tasks that last, at most one on each worker. */
export function describeLastingJob(tasks: number): object {
    return {
        spec: JSON.stringify({ millicores: TASK_MILLICORES }),
        steps: [{ count: tasks, cpu: TASK_MILLICORES, memMb: 100, longRunning: true, maxPerServer: 1 }],
    };
}

/** Lists the processes that are still running. */
export function runningProcesses({ usersPlatform: { processes } }: PathWorld): JobsProcess[] {
    return processes.filter(({ child }) => child.exitCode === null && child.signalCode === null);
}

/** Returns the process that callers use by default. */
export function firstRunningProcess(world: PathWorld): JobsProcess {
    const [process] = runningProcesses(world);
    assert.ok(process !== undefined, "no process lives");
    return process;
}

/** Submits a job and stores the caller's answer. */
export async function submit(world: PathWorld, id: string, body: object): Promise<void> {
    const startedAt = performance.now();
    world.submittedId = id;
    world.submittedBody = body;
    world.callerAnswer = await world.usersPlatform.call(firstRunningProcess(world), "POST", QUEUE_PREFIX + id, body);
    world.answeredAfterMilliseconds = performance.now() - startedAt;
}

/** Lists the runs of a job's tasks, in the order of their starts. */
export function runsOf({ usersPlatform }: PathWorld, id: string): RunRecord[] {
    return usersPlatform.runs().filter(({ task }) => task.startsWith(`${id}.`));
}

/** Groups runs by task. */
export function byTask(runs: readonly RunRecord[]): Map<string, RunRecord[]> {
    const grouped = new Map<string, RunRecord[]>();
    runs.forEach(run => grouped.set(run.task, [...grouped.get(run.task) ?? [], run]));
    return grouped;
}

/** Starts processes one after the other. */
export async function startAll(deployment: UsersDeployment, count: number, generation: string): Promise<void> {
    for (let index = 0; index < count; index++) {
        await deployment.startProcess(`entry-${index}${generation}`);
    }
}

/** Waits for and returns the process that owns the cell. */
export async function ownerOf(world: PathWorld): Promise<JobsProcess> {
    const find = () =>
        runningProcesses(world).find(({ events }) => {
            const last = events.filter(({ event }) => event === "cell-owned" || event === "cell-lost").at(-1);
            return last?.event === "cell-owned";
        });
    await waitUntil(() => find() !== undefined, "a process owns the cell");
    return find() ?? firstRunningProcess(world);
}
