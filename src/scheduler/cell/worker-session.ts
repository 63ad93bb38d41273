/**
 * The owner's session with one worker: sends the orders that follow from committed tasks and renews all leases in one
 * request, whose answer may include a usage report.
 */
import type { Clock } from "../../core/time.js";
import type { Wake } from "../../core/wake.js";
import type { AttemptStatus, OrderHeader, StartOrder, WorkerControl, WorkerReport } from "../../platform/worker.js";
import type { Ledger } from "../ledger/ledger.js";
import type { Task } from "../ledger/task.js";
import type { CellSettings } from "../settings.js";
import { nameAttempt } from "./link.js";
import type { WorkerEvent, WorkerLink } from "./link.js";
import { chooseRenewalInterval } from "./renewing.js";
import { findStartObstacle } from "./start-obstacle.js";

// Renewals sent to a silent worker after this share of a lease could extend the tasks by more than one lease.
const RENEWABLE_SHARE_OF_LEASE = 0.5;

/** Unconfirmed orders are repeated after this time. */
const ORDER_RETRY_MILLISECONDS = 400;

const ENDED_STATES: ReadonlySet<AttemptStatus["state"]> = new Set(["finished", "failed", "stopped", "lapsed"]);

/** Options of a session with one worker. */
export interface WorkerSessionOptions {
    readonly link: WorkerLink;
    readonly ledger: Ledger;
    readonly header: OrderHeader;
    readonly settings: CellSettings;
    readonly workers: WorkerControl;
    readonly clock: Clock;
    readonly wake: Wake;
    /** Time until which leases may be renewed without reaching the store. */
    horizon(): number;
    /** Names of the rules that run tasks at a time, as this process knows them. */
    listRules(now: number): ReadonlySet<string>;
    /** True while no other scheduler can have owned the cell for long: the store has confirmed the claim lately. */
    mayStart(now: number): boolean;
    emit(event: WorkerEvent): void;
    onReport(report: WorkerReport, now: number): void;
    /** Called when the worker has seen a newer epoch: this process no longer owns the cell. */
    onFenced(): void;
}

/** Runs the session with one worker until the signal is aborted. */
export async function runWorkerSession(options: WorkerSessionOptions, signal: AbortSignal): Promise<void> {
    const { link, clock, wake } = options;
    const isStopped = () => signal.aborted;
    let renewedAt = Number.NEGATIVE_INFINITY;
    while (!isStopped()) {
        // The first renewal precedes any order: it fences off the orders of earlier owners.
        if (link.incarnation === undefined || clock() >= renewedAt + chooseRenewalInterval(options, clock())) {
            renewedAt = clock();
            await renewLeases(options, signal);
        }
        if (link.incarnation !== undefined && !isStopped()) {
            await sendStops(options);
            if (!isStopped() && clock() < options.horizon() && options.mayStart(clock())) {
                await sendStarts(options);
            }
            if (!isStopped()) {
                await sendThrottles(options);
            }
        }
        const orderAt = hasPendingOrders(options) ? clock() + ORDER_RETRY_MILLISECONDS : Infinity;
        await wake.wait(Math.min(renewedAt + chooseRenewalInterval(options, clock()), orderAt) - clock(), signal);
    }
}

function hasPendingOrders({ link, ledger }: WorkerSessionOptions): boolean {
    return link.incarnation !== undefined
        && ledger.committedOn(link.instance.name).some(({ state }) => state !== "running");
}

async function renewLeases(options: WorkerSessionOptions, signal: AbortSignal): Promise<void> {
    const { link, ledger, settings, clock } = options;
    const tasks = ledger.committedOn(link.instance.name);
    const sentAt = clock();
    const answer = await options.workers.renew(link.instance.controlOrigin, {
        ...options.header,
        leaseMilliseconds: settings.workerLeaseMilliseconds,
        renewals: tasks.filter(task => isRenewable(options, task)).map(toAttempt),
        acknowledged: link.attempts.filter(status =>
            ENDED_STATES.has(status.state) && !isCurrentAttempt(options, status)
        ).map(
            toAttempt,
        ),
        ...(sentAt < link.reportDueMilliseconds ? {} : { reportAfterMilliseconds: link.reportedAtMilliseconds }),
    });
    if (answer.isErr) {
        link.failedAtMilliseconds = sentAt;
        if (answer.error.code === "fenced") {
            options.onFenced();
        }
        return;
    }
    if (signal.aborted) {
        return;
    }
    const { report } = answer.value;
    if (report !== undefined) {
        link.reportedAtMilliseconds = report.measuredAtMilliseconds;
        link.reportDueMilliseconds = sentAt + settings.reportIntervalMilliseconds;
        options.onReport(report, clock());
    }
    // Starts for an earlier incarnation are never sent again: another owner may have placed those tasks elsewhere.
    const isNew = link.incarnation !== answer.value.incarnation;
    link.incarnation = answer.value.incarnation;
    link.answeredAtMilliseconds = clock();
    link.attempts = answer.value.attempts;
    for (const status of answer.value.attempts) {
        link.progress.set(status.taskId, status.progress);
    }
    const tasksAtAnswer = isNew ? [...tasks, ...listUncommittedStarts(options)] : tasks;
    const expected = tasksAtAnswer.filter(task => isNew || link.answeredStarts.has(nameAttempt(task))).map(toAttempt);
    if (isNew) {
        link.unansweredStarts.clear();
    }
    link.answeredStarts = new Set([...expected, ...answer.value.attempts].map(nameAttempt));
    options.emit({
        kind: "answer",
        worker: link.instance.name,
        answer: { expected, attempts: answer.value.attempts },
    });
}

/** Starts that are being committed; after a restart of the worker they are lost and left to a later attempt. */
function listUncommittedStarts({ link, ledger }: WorkerSessionOptions): Task[] {
    return [...ledger.draft.values()].filter(task => task.worker === link.instance.name && task.state === "starting");
}

function isRenewable(options: WorkerSessionOptions, task: Task): boolean {
    const { link, ledger, settings, clock } = options;
    const now = clock();
    if (link.incarnation !== undefined) {
        const silentMilliseconds = now - link.answeredAtMilliseconds;
        if (silentMilliseconds >= settings.workerLeaseMilliseconds * RENEWABLE_SHARE_OF_LEASE) {
            return false;
        }
    }
    // After the horizon another owner may place batch tasks elsewhere; replicas are never moved.
    return now < options.horizon() || ledger.specOf(task).kind === "service";
}

async function sendStarts(options: WorkerSessionOptions): Promise<void> {
    const { link, ledger } = options;
    const unanswered = ledger.committedOn(link.instance.name)
        .filter(task => task.state === "starting" && !link.answeredStarts.has(nameAttempt(task)));
    if (unanswered.length === 0) {
        return;
    }
    const context = { ledger, rules: options.listRules(options.clock()) };
    // An attempt that is not wanted any more gets its stop once that is committed.
    const tasks = unanswered.filter(task => findStartObstacle(context, task) === undefined);
    // The worker may have begun to leave meanwhile; a start that it may have received is withdrawn by a stop.
    if (!acceptsWork(options)) {
        tasks.filter(task => !link.unansweredStarts.has(nameAttempt(task)))
            .forEach(task => returnPlacement(options, task));
        return;
    }
    if (tasks.length === 0) {
        return;
    }
    tasks.forEach(task => link.unansweredStarts.add(nameAttempt(task)));
    const answer = await options.workers.start(link.instance.controlOrigin, {
        ...headerFor(options),
        starts: tasks.map(task => toStart(options, task)),
    });
    if (answer.isErr) {
        // The order is repeated later; it is idempotent.
        return;
    }
    // The leases of the started attempts begin now.
    link.answeredAtMilliseconds = options.clock();
    for (const { taskId, attempt, outcome, reason } of answer.value) {
        link.answeredStarts.add(nameAttempt({ taskId, attempt }));
        link.unansweredStarts.delete(nameAttempt({ taskId, attempt }));
        options.emit(
            outcome === "started"
                ? { kind: "started", worker: link.instance.name, taskId, attempt }
                : { kind: "refused", worker: link.instance.name, taskId, attempt, reason: reason ?? "no reason given" },
        );
    }
}

function acceptsWork({ link, ledger }: WorkerSessionOptions): boolean {
    return link.isListed && link.instance.state === "live" && !ledger.drains.has(link.instance.name);
}

/** Starts without an answer on a worker that takes no new work: a stop ends the attempt, or keeps it from starting. */
function listWithdrawn(options: WorkerSessionOptions): Task[] {
    const { link, ledger } = options;
    return acceptsWork(options) ? [] : ledger.committedOn(link.instance.name).filter(task => {
        const name = nameAttempt(task);
        return task.state === "starting" && link.unansweredStarts.has(name) && !link.answeredStarts.has(name);
    });
}

/** Reports a start as refused that was not sent and never will be. */
function returnPlacement(options: WorkerSessionOptions, { taskId, attempt }: Task): void {
    const { link } = options;
    link.answeredStarts.add(nameAttempt({ taskId, attempt }));
    options.emit({ kind: "refused", worker: link.instance.name, taskId, attempt, reason: "it takes no new work" });
}

async function sendStops(options: WorkerSessionOptions): Promise<void> {
    const { link, ledger, settings, clock } = options;
    const now = clock();
    const ending = ledger.committedOn(link.instance.name).filter(task => isStopDue(options, task, now));
    const orphans = link.attempts.filter(status =>
        !ENDED_STATES.has(status.state) && !isCurrentAttempt(options, status)
    );
    const withdrawn = listWithdrawn(options);
    if (ending.length + orphans.length + withdrawn.length === 0) {
        return;
    }
    const answer = await options.workers.stop(link.instance.controlOrigin, {
        ...headerFor(options),
        stops: [
            ...[...ending, ...withdrawn].map(task => ({
                ...toAttempt(task),
                checkpoint: task.state !== "stopping",
                graceMilliseconds: settings.stopGraceMilliseconds,
            })),
            ...orphans.map(status => ({ ...toAttempt(status), checkpoint: false, graceMilliseconds: 0 })),
        ],
    });
    if (answer.isErr) {
        return;
    }
    for (const task of withdrawn) {
        link.answeredStarts.add(nameAttempt(task));
        link.unansweredStarts.delete(nameAttempt(task));
    }
    const orphaned = new Set(orphans.map(nameAttempt));
    link.attempts = link.attempts.filter(status => !orphaned.has(nameAttempt(status)));
    for (const status of answer.value) {
        if (ENDED_STATES.has(status.state)) {
            options.emit({ kind: "ended", worker: link.instance.name, status });
        }
    }
}

async function sendThrottles(options: WorkerSessionOptions): Promise<void> {
    const { link, ledger } = options;
    const tasks = ledger.committedOn(link.instance.name).filter(task =>
        task.state === "running" && (link.throttleShares.get(nameAttempt(task)) ?? 1) !== task.throttleShare
    );
    if (tasks.length === 0) {
        return;
    }
    const answer = await options.workers.throttle(link.instance.controlOrigin, {
        ...headerFor(options),
        throttles: tasks.map(task => ({ ...toAttempt(task), share: task.throttleShare })),
    });
    if (answer.isErr) {
        return;
    }
    tasks.forEach(task => link.throttleShares.set(nameAttempt(task), task.throttleShare));
}

function isStopDue({ ledger, settings }: WorkerSessionOptions, task: Task, now: number): boolean {
    if (task.state === "checkpointing") {
        return true;
    }
    // Gateways get the changed routes before the replica stops.
    const waitMilliseconds = ledger.specOf(task).kind === "service" ? settings.routeDrainMilliseconds : 0;
    return task.state === "stopping" && now >= task.sinceMilliseconds + waitMilliseconds;
}

function isCurrentAttempt({ link, ledger }: WorkerSessionOptions, status: AttemptStatus): boolean {
    const task = ledger.committed.get(status.taskId);
    return task?.worker === link.instance.name && task.attempt === status.attempt;
}

function toAttempt({ taskId, attempt }: { taskId: string; attempt: number; }): { taskId: string; attempt: number; } {
    return { taskId, attempt };
}

function toStart({ ledger, settings }: WorkerSessionOptions, task: Task): StartOrder {
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

function headerFor({ header, link }: WorkerSessionOptions): OrderHeader {
    return { ...header, ...(link.incarnation === undefined ? {} : { workerIncarnation: link.incarnation }) };
}
