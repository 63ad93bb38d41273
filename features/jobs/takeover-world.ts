/**
 * Owners of one cell and its workers in simulated time, each owner with a choice of the workers and the store it reaches.
 */
import { Result } from "true-myth/result";
import { createFailure } from "../../src/core/errors.js";
import type { EventLog } from "../../src/core/event-log.js";
import { createMetrics } from "../../src/core/metrics.js";
import { pause } from "../../src/core/time.js";
import { createCell } from "../../src/jobs/cell/cell.js";
import type { Cell } from "../../src/jobs/cell/cell.js";
import type { Ledger } from "../../src/jobs/ledger/ledger.js";
import { createChanges } from "../../src/jobs/ledger/segment.js";
import type { Changes, Segment } from "../../src/jobs/ledger/segment.js";
import { createJobsMetrics } from "../../src/jobs/metrics.js";
import type { Catalog } from "../../src/jobs/model/catalog.js";
import type { ClosureSource } from "../../src/jobs/model/closures.js";
import type { EndedAttempt, ListedWorker, WorkerOrders, WorkerReport } from "../../src/jobs/model/worker.js";
import { CellSettings } from "../../src/jobs/settings.js";
import { describeStep, describeWorker, NOW, QUEUE } from "./builders.js";
import { CELL, createSuccessions, silentLog } from "./successions.js";
import type { Succession } from "./successions.js";

/** Simulated time that passes in each step. */
const STEP_MILLISECONDS = 60;

/** Real time of each step; the cells' own waits are in real time. */
const STEP_REAL_MILLISECONDS = 20;

/** Time for which an order to a worker out of reach waits for its answer. */
const ORDER_LIMIT_REAL_MILLISECONDS = 100;

const WORKER_CORES = 8;

/** A task of no job. */
const FOREIGN_TASK = "00000000000000f0.0.0.0";

/** Time after which nothing may be started in a closed data centre. */
const CLOSURE_LIMIT_MILLISECONDS = 5_000;

/** A run of a task on a simulated worker. */
export interface SimulatedRun {
    readonly task: string;
    readonly attempt: number;
    readonly worker: string;
    readonly startedAtMilliseconds: number;
    endedAtMilliseconds: number | undefined;
}

interface SimulatedWorker {
    readonly listed: ListedWorker;
    hasPower: boolean;
    newestEpoch: number;
    leaseUntilMilliseconds: number;
    readonly ended: EndedAttempt[];
    /** Whether its reports list no ends, and say so. */
    hidesEnds: boolean;
}

/** What an owner reaches. */
export interface Reach {
    workers: ReadonlySet<string>;
    /** Worker that answers the next order, and nothing after it. */
    answersOnce?: string;
    store: boolean;
    /** Whether its successors reach it; absent means no. */
    successors?: boolean;
    /** The closed data centres as the owner reads them; absent if there are never any. */
    closures?: ClosureSource;
    /** Resolves when the store answers a release, which takes effect at once. */
    releaseAnswer?: Promise<void>;
}

/** An owner in simulated time. */
export interface SimulatedOwner {
    readonly cell: Cell;
    readonly reach: Reach;
    stop(): Promise<void>;
    /** Stops, and lets its successors know. */
    announceStop(): Promise<void>;
}

/** A cell in simulated time. */
export interface TakeoverSimulation {
    readonly runs: readonly SimulatedRun[];
    readonly workerNames: readonly string[];
    now(): number;
    /** Starts an owner of the next epoch, which reads what the owners before it have committed. */
    startOwner(reach: Reach, claimMilliseconds?: number): SimulatedOwner;
    failTask(worker: string): SimulatedRun;
    /** Ends the worker's task as done. */
    finishTask(worker: string): SimulatedRun;
    /** End of the last lease that an order has granted the worker. */
    leaseEnd(worker: string): number;
    /** Starts a run on the worker that belongs to no job and ends only when the worker's lease lapses: no stop has an effect on it. */
    startForeignRun(worker: string): SimulatedRun;
    /** Lets the worker's reports leave out all ends, or list them again. */
    hideEnds(worker: string, isHidden: boolean): void;
    cutPower(worker: string): void;
    /** Lets time pass until the condition holds; returns whether it did before the limit. */
    passTime(milliseconds: number, condition?: () => boolean): Promise<boolean>;
    close(): Promise<void>;
}

/** Creates workers without an owner, and a ledger with one job of tasks that run until they are ended, at most one on each worker. */
export function createTakeoverSimulation(
    workerCount: number,
    taskCount: number,
    log: EventLog = silentLog,
    isLasting = true,
): TakeoverSimulation {
    let now = NOW;
    const successions = createSuccessions(() => now);
    const runs: SimulatedRun[] = [];
    const segments: Segment[] = [];
    const owners: SimulatedOwner[] = [];
    const workers = new Map(Array.from({ length: workerCount }, (_, index): [string, SimulatedWorker] => {
        const id = `worker-${index}`;
        return [id, {
            listed: describeWorker(id, WORKER_CORES),
            hasPower: true,
            newestEpoch: 0,
            leaseUntilMilliseconds: 0,
            ended: [],
            hidesEnds: false,
        }];
    }));

    const append = (changes: Changes): void => {
        segments.push(structuredClone({ ...changes, sequence: segments.length + 1 }));
    };
    append({
        ...createChanges(),
        accepted: [{
            id: "job",
            queue: QUEUE.name,
            submission: {
                payload: "",
                steps: [describeStep({ taskCount, isLasting, limitPerWorker: 1 })],
            },
            acceptedAtMilliseconds: NOW,
        }],
    });

    const activeRuns = (worker: string): SimulatedRun[] =>
        runs.filter(run => run.worker === worker && run.endedAtMilliseconds === undefined);

    const endRun = (run: SimulatedRun, end: EndedAttempt["end"]): void => {
        const ended = workers.get(run.worker)?.ended;
        run.endedAtMilliseconds = now;
        ended?.push({ sequence: ended.length + 1, task: run.task, attempt: run.attempt, end, checkpoint: "" });
    };

    const endTask = (worker: string, end: EndedAttempt["end"]): SimulatedRun => {
        const [run] = activeRuns(worker);
        if (run === undefined) {
            throw new Error(`nothing runs on ${worker}`);
        }
        endRun(run, end);
        return run;
    };

    const lapseLeases = (): void => {
        for (const [id, { leaseUntilMilliseconds }] of workers) {
            if (now > leaseUntilMilliseconds) {
                activeRuns(id).forEach(run => endRun(run, "lapsed"));
            }
        }
    };

    /** Carries out an order unless the worker is out of reach or has seen a newer epoch. */
    const order = async <Answer>(
        reach: Reach,
        { id }: ListedWorker,
        orderEpoch: number,
        leaseUntilMilliseconds: number,
        execute: (worker: SimulatedWorker) => Answer,
    ): Promise<Result<Answer, ReturnType<typeof createFailure>>> => {
        const worker = workers.get(id);
        if (worker === undefined || !worker.hasPower || !reach.workers.has(id)) {
            await pause(ORDER_LIMIT_REAL_MILLISECONDS);
            return Result.err(createFailure("ambiguous", "order", "no answer within the time limit"));
        }
        if (orderEpoch < worker.newestEpoch) {
            return Result.err(createFailure("fenced", "order", "the worker has seen a newer epoch"));
        }
        if (reach.answersOnce === id) {
            reach.workers = new Set([...reach.workers].filter(other => other !== id));
        }
        worker.newestEpoch = orderEpoch;
        worker.leaseUntilMilliseconds = Math.max(worker.leaseUntilMilliseconds, leaseUntilMilliseconds);
        return Result.ok(execute(worker));
    };

    const createOrders = (reach: Reach): WorkerOrders => ({
        async hold(listed, { acknowledged, epoch: orderEpoch, leaseUntilMilliseconds = 0, waitMilliseconds }) {
            await pause(Math.min(waitMilliseconds, STEP_REAL_MILLISECONDS));
            return order(reach, listed, orderEpoch, leaseUntilMilliseconds, ({ ended, hidesEnds }): WorkerReport => ({
                incarnation: 1,
                clockMilliseconds: now,
                running: activeRuns(listed.id).map(({ attempt, task }) => ({
                    task,
                    attempt,
                    checkpoint: "",
                    percent: 100,
                    measurement: 0,
                })),
                ended: hidesEnds ? [] : ended.filter(({ sequence }) => sequence > acknowledged),
                isComplete: !hidesEnds,
            }));
        },
        start: (listed, { attempt, epoch: orderEpoch, leaseUntilMilliseconds, task }) =>
            order(reach, listed, orderEpoch, leaseUntilMilliseconds, () => {
                runs.push({
                    task,
                    attempt,
                    worker: listed.id,
                    startedAtMilliseconds: now,
                    endedAtMilliseconds: undefined,
                });
                return { kind: "started", clockMilliseconds: now } as const;
            }),
        stop: (listed, { attempt, epoch: orderEpoch, task }) =>
            order(reach, listed, orderEpoch, 0, () => {
                activeRuns(listed.id)
                    .filter(run => run.task === task && run.attempt === attempt && task !== FOREIGN_TASK)
                    .forEach(run => endRun(run, "stopped"));
                return { clockMilliseconds: now };
            }),
        pace: (listed, { epoch: orderEpoch }) =>
            order(reach, listed, orderEpoch, 0, () => ({ clockMilliseconds: now })),
        closeConnections: () => undefined,
    });

    const createLedger = (reach: Reach, { epoch, journal }: Succession): Ledger => ({
        ...journal,
        load: async () => Result.ok([...segments]),
        async commit({ changes, isRelease }) {
            if (!reach.store) {
                return Result.err(createFailure("unavailable", "commit", "the store is out of reach"));
            }
            if (epoch < successions.newestEpoch()) {
                return Result.err(createFailure("conflict", "commit", "the cell has another owner"));
            }
            append(changes);
            if (isRelease === true) {
                await reach.releaseAnswer;
            }
            return Result.ok(undefined);
        },
    });

    const catalog: Catalog = {
        version: 1,
        queues: new Map([[QUEUE.name, QUEUE]]),
        admissionCheckedPools: new Set(),
    };

    return {
        runs,
        workerNames: [...workers.keys()],
        now: () => now,
        startOwner(reach, claimMilliseconds = 0) {
            const succession = successions.claim();
            const { formerOwners } = succession;
            const stopped = new AbortController();
            const listed = new Map([...workers].map(([id, worker]) => [id, worker.listed]));
            const cell = createCell({
                name: CELL,
                settings: CellSettings.parse(
                    reach.closures === undefined ? {} : { closureLimitMilliseconds: CLOSURE_LIMIT_MILLISECONDS },
                ),
                closures: reach.closures,
                workerList: { current: () => listed, isUpToDate: () => true, onChange: () => () => undefined },
                orders: createOrders(reach),
                clock: () => now,
                log,
                metrics: createJobsMetrics(createMetrics({}, "usage")),
                catalog: () => catalog,
            }, {
                journal: createLedger(reach, succession),
                segments: [...segments],
                claimSentAtMilliseconds: now - claimMilliseconds,
                claimedAtMilliseconds: now,
                haveFormerOwnersStopped: () => formerOwners.haveStopped(),
                formerLeaseEnds: () => formerOwners.leaseEnds(),
            });
            succession.begin(cell, () => reach.successors === true);
            const asking = formerOwners.ask(() => cell.isRecovering(), stopped.signal);
            const running = cell.run(stopped.signal).then(() => succession.end());
            const stop = async (): Promise<void> => {
                stopped.abort();
                await Promise.all([running, asking]);
            };
            const owner: SimulatedOwner = {
                cell,
                reach,
                stop,
                async announceStop() {
                    await stop();
                    succession.announceStop();
                },
            };
            owners.push(owner);
            return owner;
        },
        failTask: worker => endTask(worker, "failed"),
        finishTask: worker => endTask(worker, "done"),
        leaseEnd: id => workers.get(id)?.leaseUntilMilliseconds ?? 0,
        startForeignRun(worker) {
            const run = {
                task: FOREIGN_TASK,
                attempt: 1,
                worker,
                startedAtMilliseconds: now,
                endedAtMilliseconds: undefined,
            };
            runs.push(run);
            return run;
        },
        hideEnds(id, isHidden) {
            const worker = workers.get(id);
            if (worker !== undefined) {
                worker.hidesEnds = isHidden;
            }
        },
        cutPower(id) {
            const worker = workers.get(id);
            if (worker !== undefined) {
                worker.hasPower = false;
                activeRuns(id).forEach(run => {
                    run.endedAtMilliseconds = now;
                });
            }
        },
        async passTime(milliseconds, condition = () => false) {
            const limit = now + milliseconds;
            while (now < limit && !condition()) {
                now += STEP_MILLISECONDS;
                lapseLeases();
                await pause(STEP_REAL_MILLISECONDS);
            }
            return condition();
        },
        async close() {
            await Promise.all(owners.map(owner => owner.stop()));
        },
    };
}
