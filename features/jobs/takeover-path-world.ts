/**
 * State and functions that the steps on takeovers with real processes share.
 */
import { QUEUE_PREFIX } from "../../stand-ins/users-platform/deployment.js";
import type { JobsProcess } from "../../stand-ins/users-platform/deployment.js";
import type { RunRecord, UsersWorker } from "../../stand-ins/users-platform/worker.js";
import { firstRunningProcess, runsOf, waitUntil } from "./world.js";
import type { PathWorld } from "./world.js";

/** A deployment, and what has happened to its owner and workers. */
export interface TakeoverPathWorld extends PathWorld {
    formerOwner: JobsProcess;
    /** When the owner was paused or cut off. */
    cutOffAt: number;
    /** When the owner went on or was reached again. */
    restoredAt: number;
    lastingTasks: readonly string[];
    lostWorker: UsersWorker | undefined;
    silentWorker: UsersWorker;
    startsAtLostWorker: number;
    silence: Promise<void>;
    acceptances: Acceptance[];
    callersEnd: AbortController;
    callers: Promise<void>;
}

/** A job that was accepted. */
export interface Acceptance {
    readonly process: JobsProcess;
    readonly submittedAt: number;
    readonly acceptedAt: number;
}

export const LASTING_JOB = "00000000000000f1";
export const STATUS_ACCEPTED = 200;

export const SUBMISSION_GAP_MILLISECONDS = 100;

/** The present time on the clock of the stand-ins, in milliseconds. */
export const now = (): number => performance.timeOrigin + performance.now();

/** Waits for a time in milliseconds. */
export const wait = (milliseconds: number): Promise<void> => new Promise(resolve => setTimeout(resolve, milliseconds));

/** Names of the tasks of the lasting job. */
export function namesOfTasks(count: number): string[] {
    return Array.from({ length: count }, (_, index) => `${LASTING_JOB}.0.0.${index}`);
}

/** Submits a job at the processes in turn, as a caller without an answer does, until one tells whether it is accepted. */
export async function submitAtAnyProcess(
    { usersPlatform }: PathWorld,
    listProcesses: () => readonly JobsProcess[],
    id: string,
    body: object,
    isSettled: (status: number) => boolean,
): Promise<JobsProcess> {
    for (let turn = 0;; turn++) {
        const processes = listProcesses();
        const process = processes[turn % processes.length];
        if (process !== undefined) {
            const answer = await usersPlatform.call(process, "POST", QUEUE_PREFIX + id, body);
            if (isSettled(answer.status)) {
                return process;
            }
        }
        await wait(SUBMISSION_GAP_MILLISECONDS);
    }
}

/** Runs of a lasting task that have not ended. */
function activeRuns(world: TakeoverPathWorld, task: string): RunRecord[] {
    return runsOf(world, LASTING_JOB).filter(run => run.task === task && run.endedAt === undefined);
}

/** Lasting tasks that run nowhere. */
export function idleTasks(world: TakeoverPathWorld): string[] {
    return world.lastingTasks.filter(task => activeRuns(world, task).length === 0);
}

/** Whether a caller is told that a job is completed. */
export async function isCompleted(world: TakeoverPathWorld, id: string): Promise<boolean> {
    const { state } = await world.usersPlatform.call(firstRunningProcess(world), "GET", QUEUE_PREFIX + id);
    return state === "completed";
}

/** The process that owns the cell in the newest epoch. */
function newestOwner({ usersPlatform }: PathWorld): { process: JobsProcess; epoch: number; } | undefined {
    return usersPlatform.processes
        .flatMap(process =>
            process.events.filter(({ event }) => event === "cell-owned")
                .map(({ epoch }) => ({ process, epoch: Number(epoch) }))
        )
        .sort((left, right) => right.epoch - left.epoch)[0];
}

/** Waits for and returns the process that owns the cell after the former owner. */
export async function waitForSuccessor(world: TakeoverPathWorld): Promise<JobsProcess> {
    const find = () => {
        const process = newestOwner(world)?.process;
        return process === world.formerOwner ? undefined : process;
    };
    await waitUntil(() => find() !== undefined, "another process owns the cell");
    return find() ?? world.formerOwner;
}
