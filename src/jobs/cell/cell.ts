/**
 * A cell as its owner runs it: callers' requests, workers' sessions, starts and commits.
 */
import type { Result } from "true-myth/result";
import type { Failure } from "../../core/errors.js";
import type { EventLog } from "../../core/event-log.js";
import { pause } from "../../core/time.js";
import type { Clock } from "../../core/time.js";
import type { WriteOperation } from "../../platform/store.js";
import { createBoard } from "../board/board.js";
import { confirmJob, forgetEndedJobs } from "../board/intake.js";
import { replaySegment } from "../board/restore.js";
import type { Journal } from "../ledger/journal.js";
import type { Changes, Segment } from "../ledger/segment.js";
import type { JobsMetrics } from "../metrics.js";
import type { Catalog } from "../model/catalog.js";
import type { JobReference, PendingAnswer, StateAnswer, SubmitAnswer, SubmitRequest } from "../model/requests.js";
import type { WorkerList, WorkerOrders } from "../model/worker.js";
import { createDurations } from "../policy/durations.js";
import { createInterference } from "../policy/interference.js";
import type { CellSettings } from "../settings.js";
import { createCommits } from "./commits.js";
import type { CellContext } from "./context.js";
import { createCrew } from "./crew.js";
import { createDispatcher } from "./dispatch.js";
import { createIntake } from "./intake.js";
import { summarizeLoad } from "./load.js";
import { createRecovery } from "./recovery.js";

/** Time between two looks for jobs and workers that can be forgotten. */
const TIDY_MILLISECONDS = 1_000;

/** What the owner of a cell needs. */
export interface CellOptions {
    readonly name: string;
    readonly settings: CellSettings;
    readonly workerList: WorkerList;
    readonly orders: WorkerOrders;
    readonly clock: Clock;
    readonly log: EventLog;
    readonly metrics: JobsMetrics;
    catalog(): Catalog;
}

/** A claim of a cell with what its predecessors left. */
export interface ClaimedCell {
    readonly journal: Journal;
    readonly segments: readonly Segment[];
    readonly claimedAtMilliseconds: number;
    /** Whether the predecessor's process has certainly ended. */
    isPredecessorGone(): boolean;
}

/** An owned cell. */
export interface Cell {
    readonly name: string;
    readonly epoch: number;
    submit(request: SubmitRequest): Promise<Result<SubmitAnswer, Failure>>;
    state(reference: JobReference): Promise<Result<StateAnswer, Failure>>;
    cancel(reference: JobReference): Promise<Result<StateAnswer, Failure>>;
    pending(queue: string): PendingAnswer;
    /** Writes along with the next commit, under the cell's fence. */
    attach(write: WriteOperation): void;
    noteConfirmation(at: number): void;
    /** How long commits have failed; 0 while they work. */
    failingMilliseconds(now: number): number;
    /** Gives the cell up with a last commit; false where that did not work. */
    release(): Promise<boolean>;
    /** Stops at once, without any further order or commit. */
    abandon(reason: string): void;
    /** Runs until the cell is given up, taken over, or the signal is aborted. */
    run(signal: AbortSignal): Promise<void>;
}

/** Creates the owner's side of a claimed cell. */
export function createCell(options: CellOptions, claimed: ClaimedCell): Cell {
    const { clock, log, name, settings } = options;
    const { journal } = claimed;
    const { epoch, predecessor } = journal;
    const ended = new AbortController();
    const workersInUse = new Set<string>();
    const board = createBoard({
        epoch,
        maximumAttempts: queue => options.catalog().queues.get(queue)?.maximumAttempts ?? Infinity,
    });
    claimed.segments.forEach(segment => replaySegment(board, segment, workersInUse, clock()));
    const recovery = createRecovery({
        workers: workersInUse,
        claimedAtMilliseconds: claimed.claimedAtMilliseconds,
        predecessorMilliseconds: claimed.isPredecessorGone() || predecessor?.isReleased !== false
            ? 0
            : settings.horizonMilliseconds,
        longestLeaseMilliseconds: settings.leaseMilliseconds,
    });
    const workers: CellContext["workers"] = new Map();

    const abandon = (reason: string): void => {
        if (!ended.signal.aborted) {
            log.write("cell-lost", { cell: name, epoch, reason }, "vital");
            ended.abort();
        }
    };

    const onCommitted = (changes: Changes, now: number): void => {
        for (const { id } of changes.accepted) {
            confirmJob(board, id, now);
        }
        for (const { id, queue, state } of changes.ended) {
            const entry = board.jobs.get(id);
            if (entry !== undefined) {
                entry.shownState = state;
            }
            options.metrics.jobsEnded.inc({ state });
            log.write("job-ended", {
                job: id,
                queue,
                state,
                milliseconds: entry === undefined ? undefined : Math.round(now - entry.acceptedAtMilliseconds),
            });
        }
        for (const id of changes.workersUsed) {
            const worker = workers.get(id);
            // It may have fallen silent and been taken off again while this was on its way.
            if (worker !== undefined && workersInUse.has(id)) {
                worker.isRecorded = true;
            }
        }
        dispatcher.wake();
    };

    const intake = createIntake({
        board,
        clock,
        log,
        epoch,
        commits: () => commits,
        wakeDispatch: () => dispatcher.wake(),
    });
    const commits = createCommits({
        board,
        journal,
        workers,
        workersInUse,
        settings,
        clock,
        log,
        metrics: options.metrics,
        signal: ended.signal,
        onCommitted,
        onConflict: message => abandon(message),
        onFailed: milliseconds => intake.noteFailing(milliseconds),
    });
    const context: CellContext = {
        ...options,
        epoch,
        board,
        workers,
        commits,
        interference: createInterference(),
        durations: createDurations(),
        signal: ended.signal,
        mayOrder: now =>
            !ended.signal.aborted && now - commits.confirmedAtMilliseconds() < settings.horizonMilliseconds,
        depose: (reason, peer) => abandon(`${peer}: ${reason}`),
        wakeDispatch: () => dispatcher.wake(),
    };
    const dispatcher = createDispatcher(context, recovery);
    const crew = createCrew({
        cell: context,
        recovery,
        workersInUse,
        workerList: options.workerList,
        isPredecessorGone: () => claimed.isPredecessorGone(),
    });

    const tidy = async (): Promise<void> => {
        while (!ended.signal.aborted) {
            const now = clock();
            forgetEndedJobs(board, now - settings.keepEndedMilliseconds);
            log.write("cell-load", { cell: name, epoch, ...summarizeLoad(context, now) }, "vital");
            await pause(TIDY_MILLISECONDS, ended.signal);
        }
    };

    return {
        name,
        epoch,
        submit: request => intake.submit(request),
        state: reference => intake.state(reference),
        cancel: reference => intake.cancel(reference),
        pending(queue) {
            let pending = 0;
            for (const entry of board.jobs.values()) {
                pending += entry.queue === queue && entry.state === "queued" && entry.isCommitted ? 1 : 0;
            }
            return { pending };
        },
        attach: write => commits.attach(write),
        noteConfirmation: at => commits.noteConfirmation(at),
        failingMilliseconds: now => now - (commits.failingSinceMilliseconds(now) ?? now),
        release: () => commits.release(),
        abandon,
        async run(signal) {
            const stop = (): void => ended.abort();
            signal.addEventListener("abort", stop, { once: true });
            log.write("cell-owned", {
                cell: name,
                epoch,
                jobs: board.jobs.size,
                unheardWorkers: recovery.unheard().length,
                predecessor: predecessor?.owner,
                isPredecessorGone: claimed.isPredecessorGone(),
            }, "vital");
            const running = [crew.run(), dispatcher.run(), tidy()];
            await commits.run();
            ended.abort();
            signal.removeEventListener("abort", stop);
            await Promise.all(running);
        },
    };
}
