/**
 * One task per worker: carries out what has been committed, renews leases in one batch, and reads usage reports.
 */
import type { Failure } from "../../core/errors.js";
import type { Clock } from "../../core/time.js";
import type { AttemptStatus, OrderHeader, StartOrder, WorkerControl, WorkerReport } from "../../platform/worker.js";
import type { Ledger } from "../ledger/ledger.js";
import type { Task } from "../ledger/task.js";
import type { CellSettings } from "../settings.js";
import type { Wake } from "../wake.js";
import { nameAttempt } from "./link.js";
import type { WorkerEvent, WorkerLink } from "./link.js";

// Renewals that are sent to a silent worker for longer than this share of a lease could prolong a lease by more than one.
const RENEWABLE_SHARE_OF_LEASE = 0.5;

const ENDED_STATES: ReadonlySet<AttemptStatus["state"]> = new Set(["finished", "failed", "stopped", "lapsed"]);

/** What the task of one worker needs. */
export interface WorkerTaskOptions {
    readonly link: WorkerLink;
    readonly ledger: Ledger;
    readonly header: OrderHeader;
    readonly settings: CellSettings;
    readonly workers: WorkerControl;
    readonly clock: Clock;
    readonly wake: Wake;
    /** Until when leases may be renewed without reaching the store. */
    horizon(): number;
    emit(event: WorkerEvent): void;
    onReport(report: WorkerReport, now: number): void;
    /** The worker knows a newer epoch: this process no longer owns the cell. */
    onFenced(): void;
}

/** Serves one worker until the signal is aborted. */
export async function runWorker(options: WorkerTaskOptions, signal: AbortSignal): Promise<void> {
    const { link, settings, clock, wake } = options;
    const isStopped = () => signal.aborted;
    let renewAt = 0;
    let reportAt = clock() + settings.reportIntervalMilliseconds;
    while (!isStopped()) {
        // A worker is asked what it runs before it gets any order, so that a predecessor's orders are shut out first.
        if (link.incarnation === undefined || clock() >= renewAt) {
            renewAt = clock() + settings.renewIntervalMilliseconds;
            await renewLeases(options, signal);
        }
        if (link.incarnation !== undefined && !isStopped()) {
            await sendStops(options);
            if (clock() < options.horizon()) {
                await sendStarts(options);
            }
            await sendThrottles(options);
        }
        if (clock() >= reportAt && link.incarnation !== undefined && !isStopped()) {
            reportAt = clock() + settings.reportIntervalMilliseconds;
            const report = await options.workers.report(link.instance.controlOrigin);
            report.map(measured => options.onReport(measured, clock()));
        }
        await wake.wait(Math.min(renewAt, reportAt) - clock(), signal);
    }
}

async function renewLeases(options: WorkerTaskOptions, signal: AbortSignal): Promise<void> {
    const { link, ledger, settings, clock } = options;
    const tasks = ledger.committedOn(link.instance.name);
    const answer = await options.workers.renew(link.instance.controlOrigin, {
        ...options.header,
        leaseMilliseconds: settings.workerLeaseMilliseconds,
        renewals: tasks.filter(task => isRenewable(options, task)).map(toAttempt),
        acknowledged: link.attempts.filter(status => ENDED_STATES.has(status.state) && !isHeld(options, status)).map(
            toAttempt,
        ),
    });
    if (answer.isErr) {
        noteFailure(options, answer.error);
        return;
    }
    if (signal.aborted) {
        return;
    }
    const first = link.incarnation === undefined;
    link.incarnation = answer.value.incarnation;
    link.answeredAtMilliseconds = clock();
    link.attempts = answer.value.attempts;
    for (const status of answer.value.attempts) {
        link.progress.set(status.taskId, status.progress);
    }
    const expected = tasks.filter(task => first || link.started.has(nameAttempt(task))).map(toAttempt);
    // What the worker does not know after its first answer was never started, and this attempt never will be.
    link.started = new Set([...expected, ...answer.value.attempts].map(nameAttempt));
    options.emit({
        kind: "answer",
        worker: link.instance.name,
        answer: { expected, attempts: answer.value.attempts },
    });
}

function isRenewable(options: WorkerTaskOptions, task: Task): boolean {
    const { link, ledger, settings, clock } = options;
    const now = clock();
    if (link.incarnation !== undefined) {
        const silent = now - link.answeredAtMilliseconds;
        if (silent >= settings.workerLeaseMilliseconds * RENEWABLE_SHARE_OF_LEASE) {
            return false;
        }
    }
    // Past the horizon a successor may move batch tasks; replicas are never moved.
    return now < options.horizon() || ledger.specOf(task).kind === "service";
}

async function sendStarts(options: WorkerTaskOptions): Promise<void> {
    const { link, ledger } = options;
    const tasks = ledger.committedOn(link.instance.name)
        .filter(task => task.state === "starting" && !link.started.has(nameAttempt(task)));
    if (tasks.length === 0) {
        return;
    }
    const answer = await options.workers.start(link.instance.controlOrigin, {
        ...options.header,
        starts: tasks.map(task => toStart(options, task)),
    });
    if (answer.isErr) {
        // The next round repeats the order; the worker answers a repeated one as before.
        noteFailure(options, answer.error);
        return;
    }
    for (const { taskId, attempt, outcome, reason } of answer.value) {
        link.started.add(nameAttempt({ taskId, attempt }));
        options.emit(
            outcome === "started"
                ? { kind: "started", worker: link.instance.name, taskId, attempt }
                : { kind: "refused", worker: link.instance.name, taskId, attempt, reason: reason ?? "no reason given" },
        );
    }
}

async function sendStops(options: WorkerTaskOptions): Promise<void> {
    const { link, ledger, settings, clock } = options;
    const now = clock();
    const ending = ledger.committedOn(link.instance.name).filter(task => isStopDue(options, task, now));
    const orphans = link.attempts.filter(status => !ENDED_STATES.has(status.state) && !isHeld(options, status));
    if (ending.length + orphans.length === 0) {
        return;
    }
    const answer = await options.workers.stop(link.instance.controlOrigin, {
        ...options.header,
        stops: [
            ...ending.map(task => ({
                ...toAttempt(task),
                checkpoint: task.state === "checkpointing",
                graceMilliseconds: settings.stopGraceMilliseconds,
            })),
            ...orphans.map(status => ({ ...toAttempt(status), checkpoint: false, graceMilliseconds: 0 })),
        ],
    });
    if (answer.isErr) {
        noteFailure(options, answer.error);
        return;
    }
    const orphaned = new Set(orphans.map(nameAttempt));
    link.attempts = link.attempts.filter(status => !orphaned.has(nameAttempt(status)));
    for (const status of answer.value) {
        if (ENDED_STATES.has(status.state)) {
            options.emit({ kind: "ended", worker: link.instance.name, status });
        }
    }
}

async function sendThrottles(options: WorkerTaskOptions): Promise<void> {
    const { link, ledger } = options;
    const tasks = ledger.committedOn(link.instance.name).filter(task =>
        task.state === "running" && (link.throttled.get(nameAttempt(task)) ?? 1) !== task.throttleShare
    );
    if (tasks.length === 0) {
        return;
    }
    const answer = await options.workers.throttle(link.instance.controlOrigin, {
        ...options.header,
        throttles: tasks.map(task => ({ ...toAttempt(task), share: task.throttleShare })),
    });
    if (answer.isErr) {
        noteFailure(options, answer.error);
        return;
    }
    tasks.forEach(task => link.throttled.set(nameAttempt(task), task.throttleShare));
}

function isStopDue({ ledger, settings }: WorkerTaskOptions, task: Task, now: number): boolean {
    if (task.state === "checkpointing") {
        return true;
    }
    // Gateways hear that a replica leaves before it is stopped.
    const wait = ledger.specOf(task).kind === "service" ? settings.routeDrainMilliseconds : 0;
    return task.state === "stopping" && now >= task.sinceMilliseconds + wait;
}

function isHeld({ link, ledger }: WorkerTaskOptions, status: AttemptStatus): boolean {
    const task = ledger.committed.get(status.taskId);
    return task?.worker === link.instance.name && task.attempt === status.attempt;
}

function toAttempt({ taskId, attempt }: { taskId: string; attempt: number; }): { taskId: string; attempt: number; } {
    return { taskId, attempt };
}

function toStart({ ledger, settings }: WorkerTaskOptions, task: Task): StartOrder {
    const spec = ledger.specOf(task);
    return {
        taskId: task.taskId,
        attempt: task.attempt,
        rule: spec.rule,
        kind: spec.kind,
        resources: spec.resources,
        ...(task.checkpoint === undefined ? {} : { checkpoint: task.checkpoint }),
        workSeconds: spec.workSeconds,
        leaseMilliseconds: settings.workerLeaseMilliseconds,
    };
}

function noteFailure(options: WorkerTaskOptions, failure: Failure): void {
    if (failure.code === "fenced") {
        options.onFenced();
    }
}
