/**
 * Plays jobs on the workers of a pool in simulated time: passes decide, tasks run as long as the scenario says, and ends are recorded.
 */
import { describeStep, describeWorker } from "../../bench/colocation/jobs.js";
import { recordAttemptEnd, recordRunningAttempt, registerAttempt } from "../../src/jobs/job-table/attempts.js";
import type { JobTable } from "../../src/jobs/job-table/job-table.js";
import { acceptJob, confirmJob } from "../../src/jobs/job-table/lifecycle.js";
import type { Attempt } from "../../src/jobs/job-table/task.js";
import { createDurations } from "../../src/jobs/policy/durations.js";
import { createInterference } from "../../src/jobs/policy/interference.js";
import { createLookAhead } from "../../src/jobs/policy/look-ahead.js";
import { planPass } from "../../src/jobs/policy/pass.js";
import { createEmptyJobTable, NOW, QUEUE } from "./builders.js";

/** Queue whose jobs go before those of the others. */
export const URGENT_QUEUE = { ...QUEUE, name: "urgent", priority: 0 };
/** Queue of the other jobs. */
const PLAIN_QUEUE = { ...QUEUE, priority: 1 };

/** A job of one step. */
export interface PlayedJob {
    readonly id: string;
    readonly fields: Parameters<typeof describeStep>[0];
    /** How long its tasks run, whatever they were estimated to. */
    readonly runMilliseconds: number;
    readonly queue?: string;
}

/** What became of a job. */
export interface PlayedOutcome {
    readonly job: PlayedJob;
    readonly submittedAt: number;
    /** When its first and its last task started, in milliseconds since the beginning. */
    firstStartAt?: number;
    lastStartAt?: number;
    startedTasks: number;
    endedAt?: number;
}

/** Options of a play. */
export interface PlayOptions {
    readonly workers: number;
    readonly cores: number;
    readonly looksAhead: boolean;
    /** Whether fillers that ask for more cores than others leave run slower in proportion; all run at full speed if absent. */
    readonly dividesCores?: boolean;
}

/** A pool in simulated time. */
export interface Play {
    readonly outcomes: ReadonlyMap<string, PlayedOutcome>;
    readonly jobTable: JobTable;
    /** Milliseconds since the beginning. */
    elapsed(): number;
    submit(job: PlayedJob): void;
    /** Changes the cores of the first workers; what runs there goes on. */
    resize(workers: number, cores: number): void;
    /** Puts a successor in place, which knows of no reservation. */
    takeOver(): void;
    /** Lets time pass; `everyPass` is called before each pass. */
    advance(milliseconds: number, everyPass?: () => void): void;
}

/** Time between two passes. */
const PASS_MILLISECONDS = 20;

/** Creates a pool of empty workers. */
export function createPlay({ cores, dividesCores = false, looksAhead, workers }: PlayOptions): Play {
    const jobTable = createEmptyJobTable();
    const outcomes = new Map<string, PlayedOutcome>();
    /** Work done, as the time that it takes at full speed. */
    const running = new Map<Attempt, number>();
    const listed = Array.from({ length: workers }, (_, index) => describeWorker(`worker-${index}`, cores));
    const durations = createDurations();
    const interference = createInterference();
    const queues = new Map([URGENT_QUEUE, PLAIN_QUEUE].map(queue => [queue.name, queue]));
    let lookAhead = looksAhead ? createLookAhead() : undefined;
    let now = NOW;
    let sequence = 0;

    const speedOf = ({ task, worker: id }: Attempt): number => {
        const { fillerMillicores, used } = jobTable.occupancy.load(id);
        const millicores = listed.find(worker => worker.id === id)?.capacity.millicores ?? 0;
        return dividesCores && task.step.isFiller
            ? Math.max(0, Math.min(1, (millicores - used.millicores) / fillerMillicores))
            : 1;
    };

    const recordEnds = (): void => {
        for (const [attempt, before] of running) {
            const { number, task, worker } = attempt;
            const outcome = outcomes.get(task.entry.id);
            const ran = before + PASS_MILLISECONDS * speedOf(attempt);
            const runMilliseconds = outcome?.job.runMilliseconds ?? 0;
            if (ran < runMilliseconds) {
                running.set(attempt, ran);
                const percent = Math.floor(100 * ran / runMilliseconds);
                recordRunningAttempt(jobTable, worker, {
                    task: task.key,
                    attempt: number,
                    checkpoint: "",
                    percent: task.step.isLasting ? 100 : percent,
                    measurement: 0,
                }, now);
                continue;
            }
            running.delete(attempt);
            sequence += 1;
            recordAttemptEnd(jobTable, worker, {
                sequence,
                task: task.key,
                attempt: number,
                end: "done",
                checkpoint: "",
            }, now);
            if (outcome !== undefined && jobTable.jobs.get(task.entry.id)?.state === "completed") {
                outcome.endedAt = now - NOW;
            }
        }
    };

    const pass = (): void => {
        const candidates = listed.map(worker => ({ worker, load: jobTable.occupancy.load(worker.id) }));
        const { starts } = planPass({
            epoch: 1,
            startableTasks: [...jobTable.readyTasks],
            pools: new Map(listed.slice(0, 1).map(({ pool }) => [pool, candidates])),
            queues,
            reviewedWorkers: [],
            attemptsToStop: jobTable.attemptsToStop,
            interference,
            durations,
            ...(lookAhead === undefined ? {} : { lookAhead }),
            startLimit: Infinity,
            stopLimitMilliseconds: 0,
            mayGiveWay: false,
            mayStartCopies: false,
            isUnderReview: () => false,
        }, now);
        for (const attempt of starts) {
            registerAttempt(jobTable, attempt);
            running.set(attempt, 0);
            const outcome = outcomes.get(attempt.task.entry.id);
            if (outcome !== undefined) {
                outcome.firstStartAt ??= now - NOW;
                outcome.lastStartAt = now - NOW;
                outcome.startedTasks += 1;
            }
        }
    };

    return {
        outcomes,
        jobTable,
        elapsed: () => now - NOW,
        submit(job) {
            const { fields, id, queue = QUEUE.name } = job;
            const submission = { payload: "", steps: [describeStep(fields)] };
            acceptJob(jobTable, { id, queue, submission, acceptedAtMilliseconds: now });
            confirmJob(jobTable, id, now);
            outcomes.set(id, { job, submittedAt: now - NOW, startedTasks: 0 });
        },
        resize(resized, coresLeft) {
            listed.splice(0, resized, ...listed.slice(0, resized).map(({ id }) => describeWorker(id, coresLeft)));
        },
        takeOver() {
            lookAhead = looksAhead ? createLookAhead() : undefined;
        },
        advance(milliseconds, everyPass = () => undefined) {
            const until = now + milliseconds;
            while (now < until) {
                recordEnds();
                everyPass();
                pass();
                now += PASS_MILLISECONDS;
            }
        },
    };
}
