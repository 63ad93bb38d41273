/**
 * A simulated cell in simulated time, whose lines on waiting work are kept.
 */
import type { EventLog } from "../../src/core/event-log.js";
import { createMetrics } from "../../src/core/metrics.js";
import type { CellContext } from "../../src/jobs/cell/context.js";
import { showLoad, summarizeLoad } from "../../src/jobs/cell/load.js";
import { listPools } from "../../src/jobs/cell/pools.js";
import { createRecovery } from "../../src/jobs/cell/recovery.js";
import { createWaitingLines } from "../../src/jobs/cell/waiting-lines.js";
import type { WaitingCounts } from "../../src/jobs/cell/waiting-lines.js";
import { createCellWorker } from "../../src/jobs/cell/worker.js";
import type { CellWorker } from "../../src/jobs/cell/worker.js";
import { confirmStart, registerAttempt } from "../../src/jobs/job-table/attempts.js";
import type { JobTable } from "../../src/jobs/job-table/job-table.js";
import type { Attempt, Task } from "../../src/jobs/job-table/task.js";
import { createJobsMetrics } from "../../src/jobs/metrics.js";
import type { Candidate } from "../../src/jobs/policy/candidate.js";
import { createLookAhead } from "../../src/jobs/policy/look-ahead.js";
import { planPass } from "../../src/jobs/policy/pass.js";
import { addTask, describeWorker, NOW, runTask } from "./builders.js";
import { createSimulatedCell } from "./simulated-cell.js";

/** A line on waiting work. */
export type WaitingLine = Readonly<Record<string, unknown>>;

/** What a scenario changes about the cell. */
export interface Conditions {
    maySendOrders: boolean;
    areClosuresConfirmed: boolean;
    areDataCentresClosed: boolean;
    isUnderReview: boolean;
    hasQueue: boolean;
    /** Whether the effect of each pair of images is being measured. */
    isTrialUnderWay: boolean;
    startLimit: number;
    unansweredWorkers: readonly string[];
}

/** A simulated cell with its lines. */
export interface WaitingCell {
    readonly cell: CellContext;
    readonly workers: Map<string, CellWorker>;
    readonly conditions: Conditions;
    readonly lines: readonly WaitingLine[];
    /** Number of lines of each look. */
    readonly linesOfLooks: readonly number[];
    counts(): WaitingCounts;
    /** The metrics of the owner in text form. */
    metricsText(): Promise<string>;
    pools(): ReadonlyMap<string, Candidate[]>;
    /** Looks once, unless there has been a look already, then lets time pass, with a pass and a look each second. */
    passTime(milliseconds: number): void;
}

const CLOCK_MILLISECONDS = 500_000;
const LOOK_MILLISECONDS = 1_000;
const STARTS_IN_FLIGHT = 3;
const OLDEST_START_MILLISECONDS = 700;

/** Runs a task of a job of its own on a worker, and adds it to the others. */
export function occupy(
    { jobTable, others }: { readonly jobTable: JobTable; readonly others: Attempt[]; },
    worker: string,
    fields: Parameters<typeof addTask>[2],
): void {
    others.push(runTask(jobTable, addTask(jobTable, `other-${others.length}`, fields, NOW), worker, NOW));
}

/** Creates a cell of workers that answer. */
export function createWaitingCell(jobTable: JobTable, workerCount: number, cores: number): WaitingCell {
    const lines: WaitingLine[] = [];
    const linesOfLooks: number[] = [];
    let counts: WaitingCounts = {};
    let now = NOW;
    let latest = { pools: new Map<string, Candidate[]>(), unreachedTasks: [] as readonly Task[] };
    const conditions: Conditions = {
        maySendOrders: true,
        areClosuresConfirmed: true,
        areDataCentresClosed: false,
        isUnderReview: false,
        hasQueue: true,
        isTrialUnderWay: false,
        startLimit: Infinity,
        unansweredWorkers: [],
    };
    const log: EventLog = {
        write(event, fields) {
            if (event === "task-waiting") {
                lines.push(fields);
            }
        },
        flush: async () => undefined,
    };
    const workers = new Map(Array.from({ length: workerCount }, (_, index): [string, CellWorker] => {
        const worker = createCellWorker(describeWorker(`worker-${index}`, cores), true, NOW);
        worker.contact = "answering";
        worker.clock = { workerMilliseconds: CLOCK_MILLISECONDS, atMilliseconds: NOW };
        return [worker.listed.id, worker];
    }));
    const { registry, ...metrics } = createMetrics({}, "usage");
    const simulated = createSimulatedCell({ jobTable, orders: {}, signal: new AbortController().signal });
    const cell: CellContext = {
        ...simulated,
        workers,
        log,
        metrics: createJobsMetrics({ registry, ...metrics }),
        catalog: () => conditions.hasQueue ? simulated.catalog() : { ...simulated.catalog(), queues: new Map() },
        closures: {
            isClosed: () => conditions.areDataCentresClosed,
            areConfirmed: () => conditions.areClosuresConfirmed,
            run: async () => undefined,
        },
        crashes: { ...simulated.crashes, isUnderReview: () => conditions.isUnderReview },
        maySendOrders: () => conditions.maySendOrders,
        listEvidence: () => ({
            committedAtMilliseconds: NOW,
            confirmedAtMilliseconds: NOW,
            answersAtMilliseconds: [...workers.keys()].map(() => -Infinity),
        }),
    };
    const createCellRecovery = () =>
        createRecovery({
            workers: conditions.unansweredWorkers,
            claimedAtMilliseconds: NOW,
            predecessorActiveMilliseconds: 0,
            longestLeaseOf: () => Infinity,
            contactMilliseconds: 0,
        });
    const recovery = {
        ...createCellRecovery(),
        unanswered: () => conditions.unansweredWorkers,
        mayStart: (task: Parameters<ReturnType<typeof createCellRecovery>["mayStart"]>[0]) =>
            createCellRecovery().mayStart(task),
    };
    const lookAhead = createLookAhead();
    const waitingLines = createWaitingLines({
        cell,
        recovery,
        latestPass: () => ({
            ...latest,
            startsInFlight: STARTS_IN_FLIGHT,
            oldestStartAtMilliseconds: now - OLDEST_START_MILLISECONDS,
        }),
    });

    const pass = (): void => {
        if (!conditions.maySendOrders || !conditions.areClosuresConfirmed) {
            return;
        }
        const pools = listPools(cell, latest.pools, now);
        const { starts, unreachedTasks } = planPass({
            epoch: cell.epoch,
            startableTasks: [...jobTable.readyTasks].filter(task =>
                recovery.mayStart(task) && !conditions.isUnderReview
            ),
            pools,
            queues: cell.catalog().queues,
            reviewedWorkers: [],
            attemptsToStop: jobTable.attemptsToStop,
            interference: cell.interference,
            durations: cell.durations,
            lookAhead,
            startLimit: conditions.startLimit,
            stopLimitMilliseconds: 0,
            mayGiveWay: false,
            mayStartCopies: false,
            isUnderReview: () => conditions.isUnderReview,
        }, now);
        for (const attempt of starts) {
            registerAttempt(jobTable, attempt);
            confirmStart(jobTable, attempt, CLOCK_MILLISECONDS, now);
        }
        latest = { pools, unreachedTasks };
    };

    const look = (): void => {
        if (conditions.isTrialUnderWay) {
            cell.interference.recordTrial("desk", "booking", now);
        }
        pass();
        const before = lines.length;
        counts = waitingLines.check(now);
        linesOfLooks.push(lines.length - before);
    };

    return {
        cell,
        workers,
        conditions,
        lines,
        linesOfLooks,
        counts: () => counts,
        async metricsText() {
            showLoad(cell.metrics, summarizeLoad(cell, recovery, counts, now));
            return registry.metrics();
        },
        pools: () => listPools(cell, new Map(), now),
        passTime(milliseconds) {
            if (linesOfLooks.length === 0) {
                look();
            }
            for (const until = now + milliseconds; now < until;) {
                now += LOOK_MILLISECONDS;
                look();
            }
        },
    };
}
