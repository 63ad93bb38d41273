/**
 * What the steps on the users' platform in small share.
 */
import assert from "node:assert/strict";
import { QUEUE_PREFIX } from "../../stand-ins/users-platform/deployment.js";
import type { CallerAnswer, JobsProcess, UsersDeployment } from "../../stand-ins/users-platform/deployment.js";
import type { RunRecord } from "../../stand-ins/users-platform/worker.js";

/** A deployment, and what its callers did last. */
export interface PathWorld {
    usersPlatform: UsersDeployment;
    callerAnswer: CallerAnswer;
    answeredAfterMilliseconds: number;
    submittedBody: object;
    submittedId: string;
    leavingProcess: JobsProcess;
    submissions: Map<string, CallerAnswer>;
    /** Time until the answer to each submission. */
    answerMilliseconds: Map<string, number>;
}

const POLL_MILLISECONDS = 25;
const SETTLED_MILLISECONDS = 30_000;
const TASK_MILLICORES = 1_500;

/** Waits for a condition; fails where it does not come about. */
export async function waitUntil(condition: () => Promise<boolean> | boolean, description: string): Promise<void> {
    const limit = performance.now() + SETTLED_MILLISECONDS;
    while (!await condition()) {
        assert.ok(performance.now() < limit, `not within ${SETTLED_MILLISECONDS} ms: ${description}`);
        await new Promise(resolve => setTimeout(resolve, POLL_MILLISECONDS));
    }
}

/** A job whose steps follow one another, each of tasks that are alike. */
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

/** Processes that have not ended. */
export function runningProcesses({ usersPlatform: { processes } }: PathWorld): JobsProcess[] {
    return processes.filter(({ child }) => child.exitCode === null && child.signalCode === null);
}

/** The process that callers reach first. */
export function firstRunningProcess(world: PathWorld): JobsProcess {
    const [process] = runningProcesses(world);
    assert.ok(process !== undefined, "no process lives");
    return process;
}

/** Hands a job in, and keeps what the caller is told. */
export async function submit(world: PathWorld, id: string, body: object): Promise<void> {
    const startedAt = performance.now();
    world.submittedId = id;
    world.submittedBody = body;
    world.callerAnswer = await world.usersPlatform.call(firstRunningProcess(world), "POST", QUEUE_PREFIX + id, body);
    world.answeredAfterMilliseconds = performance.now() - startedAt;
}

/** Runs of a job's tasks, in the order of their starts. */
export function runsOf({ usersPlatform }: PathWorld, id: string): RunRecord[] {
    return usersPlatform.runs().filter(({ task }) => task.startsWith(`${id}.`));
}

/** Runs by task. */
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

/** The process that owns the cell. */
export async function ownerOf(world: PathWorld): Promise<JobsProcess> {
    const find = () =>
        runningProcesses(world).find(({ events }) => {
            const last = events.filter(({ event }) => event === "cell-owned" || event === "cell-lost").at(-1);
            return last?.event === "cell-owned";
        });
    await waitUntil(() => find() !== undefined, "a process owns the cell");
    return find() ?? firstRunningProcess(world);
}
