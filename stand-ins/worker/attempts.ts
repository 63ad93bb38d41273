/**
 * Attempts on one worker: started, progressing under leases, checkpointed, stopped.
 */
import type { Attempt, AttemptState, AttemptStatus, OrderHeader, StartOrder } from "../../src/platform/worker.js";
import type { Interference } from "./interference.js";
import type { Recorder, WorkerRecord } from "./record.js";
import type { WorkerBehaviour, WorkerFaults } from "./settings.js";

/** One attempt as the worker keeps it. */
export interface RunningAttempt {
    readonly order: StartOrder;
    readonly cell: string;
    readonly startedAtMilliseconds: number;
    /** For interference: the same facts under its names. */
    readonly rule: string;
    readonly cores: number;
    state: AttemptState;
    progress: number;
    checkpoint: string | undefined;
    reason: string | undefined;
    throttleShare: number;
    leaseUntilMilliseconds: number;
    advancedAtMilliseconds: number;
    /** When a stop takes effect: after the checkpoint of batch work, or when a service's grace has passed. */
    stopsAtMilliseconds: number | undefined;
    requestsUnderWay: number;
    slowdown: number;
}

/** Options of the table of attempts. */
export interface AttemptsOptions {
    readonly worker: string;
    readonly cores: number;
    readonly behaviour: WorkerBehaviour;
    readonly interference: Interference;
    readonly faults: WorkerFaults;
    readonly record: Recorder;
}

/** The attempts of one worker. Each call first carries time forward to `now`. */
export interface Attempts {
    start(header: OrderHeader, order: StartOrder, now: number): { outcome: "started" | "refused"; reason?: string; };
    stop(
        header: OrderHeader,
        stop: Attempt & { checkpoint: boolean; graceMilliseconds: number; },
        now: number,
    ): AttemptStatus;
    throttle(attempt: Attempt, share: number, now: number): void;
    renew(attempt: Attempt, leaseMilliseconds: number, now: number): void;
    forget(attempt: Attempt, now: number): void;
    statuses(cell: string, now: number): AttemptStatus[];
    find(attempt: Attempt): RunningAttempt | undefined;
    findService(service: string): RunningAttempt | undefined;
    active(): readonly RunningAttempt[];
    advance(now: number): void;
    /** Loses everything, as a restart does. */
    lose(now: number): void;
}

type EndState = Extract<WorkerRecord, { event: "attempt-ended"; }>["state"];

/** Tells whether an attempt still takes room. */
export function isActive(attempt: RunningAttempt): boolean {
    return attempt.state === "running" || attempt.state === "checkpointing";
}

/** Creates an empty table. */
export function createAttempts(options: AttemptsOptions): Attempts {
    const { worker, behaviour, faults, interference, record } = options;
    const known = new Map<string, RunningAttempt>();
    // The highest attempt seen of each task, so that an order that arrives late starts nothing twice.
    const highest = new Map<string, number>();
    let active: RunningAttempt[] = [];

    function updateActive(): void {
        active = [...known.values()].filter(isActive);
        for (const attempt of active) {
            attempt.slowdown = interference.slowdown(attempt, active, options.cores);
        }
    }

    function end(attempt: RunningAttempt, state: EndState, now: number, reason?: string): void {
        attempt.state = state === "lost" ? "failed" : state;
        attempt.reason = reason;
        record({
            event: "attempt-ended",
            worker,
            at: now,
            taskId: attempt.order.taskId,
            attempt: attempt.order.attempt,
            rule: attempt.rule,
            state,
            progress: attempt.progress,
            checkpointed: attempt.checkpoint !== undefined,
        });
        updateActive();
    }

    function progressTo(attempt: RunningAttempt, now: number): void {
        const elapsedSeconds = Math.max(0, now - attempt.advancedAtMilliseconds) / 1_000;
        attempt.advancedAtMilliseconds = now;
        if (attempt.order.kind === "service" || attempt.state !== "running") {
            return;
        }
        const work = attempt.order.workSeconds * interference.workFactor(attempt.rule, attempt.order.taskId);
        const done = elapsedSeconds * behaviour.speed * attempt.throttleShare / attempt.slowdown;
        attempt.progress = work === 0 ? 1 : Math.min(1, attempt.progress + done / work);
    }

    function advanceOne(attempt: RunningAttempt, now: number): void {
        const hasLapsed = attempt.leaseUntilMilliseconds <= now && !behaviour.ignore.includes("leases");
        progressTo(attempt, hasLapsed ? attempt.leaseUntilMilliseconds : now);
        const failsAfter = interference.profile(attempt.rule).failsAfterMilliseconds;
        if (hasLapsed) {
            end(attempt, "lapsed", now, "the lease has lapsed");
        }
        else if (attempt.stopsAtMilliseconds !== undefined) {
            const isIdleService = attempt.order.kind === "service" && attempt.requestsUnderWay === 0;
            if (attempt.stopsAtMilliseconds <= now || isIdleService) {
                end(attempt, "stopped", now);
            }
        }
        else if (failsAfter !== undefined && now - attempt.startedAtMilliseconds >= failsAfter) {
            end(attempt, "failed", now, "the task failed");
        }
        else if (attempt.order.kind === "batch" && attempt.progress >= 1) {
            end(attempt, "finished", now);
        }
    }

    function advance(now: number): void {
        for (const attempt of active) {
            advanceOne(attempt, now);
        }
    }

    function unknownStatus(attempt: Attempt, cell: string): AttemptStatus {
        return {
            taskId: attempt.taskId,
            attempt: attempt.attempt,
            rule: "unknown",
            cell,
            state: "stopped",
            progress: 0,
        };
    }

    function remember(taskId: string, attempt: number): void {
        highest.set(taskId, Math.max(attempt, highest.get(taskId) ?? 0));
    }

    return {
        start(header, order, now) {
            advance(now);
            const before = known.get(nameAttempt(order));
            if (before !== undefined) {
                return { outcome: "started" };
            }
            if (order.attempt <= (highest.get(order.taskId) ?? 0)) {
                return { outcome: "refused", reason: "the attempt has ended, or a later one is known" };
            }
            remember(order.taskId, order.attempt);
            const attempt = createAttempt(header, order, now);
            if (behaviour.ignore.includes("checkpoints")) {
                attempt.progress = 0;
            }
            known.set(nameAttempt(order), attempt);
            updateActive();
            record({
                event: "attempt-started",
                worker,
                at: now,
                taskId: order.taskId,
                attempt: order.attempt,
                rule: order.rule,
                kind: order.kind,
                cell: header.cell,
                epoch: header.epoch,
                owner: header.owner,
                ...order.resources,
                resumedProgress: attempt.progress,
            });
            if (faults.failStarts) {
                end(attempt, "failed", now, "the worker could not start the task");
            }
            return { outcome: "started" };
        },
        stop(header, stop, now) {
            advance(now);
            const attempt = known.get(nameAttempt(stop));
            if (attempt === undefined) {
                remember(stop.taskId, stop.attempt);
                return unknownStatus(stop, header.cell);
            }
            if (behaviour.ignore.includes("stops")) {
                return { ...toStatus(attempt), state: "stopped" };
            }
            if (isActive(attempt) && attempt.stopsAtMilliseconds === undefined) {
                const isService = attempt.order.kind === "service";
                attempt.state = "checkpointing";
                attempt.checkpoint = stop.checkpoint && !isService ? writeCheckpoint(attempt) : attempt.checkpoint;
                const wait = isService
                    ? stop.graceMilliseconds
                    : stop.checkpoint
                    ? behaviour.checkpointMilliseconds
                    : 0;
                attempt.stopsAtMilliseconds = now + wait;
                advance(now);
            }
            return toStatus(attempt);
        },
        throttle(attempt, share, now) {
            advance(now);
            const found = known.get(nameAttempt(attempt));
            if (found !== undefined) {
                found.throttleShare = share;
                updateActive();
            }
        },
        renew(attempt, leaseMilliseconds, now) {
            advance(now);
            const found = known.get(nameAttempt(attempt));
            if (found !== undefined && isActive(found)) {
                found.leaseUntilMilliseconds = Math.max(found.leaseUntilMilliseconds, now + leaseMilliseconds);
            }
        },
        forget(attempt, now) {
            advance(now);
            const found = known.get(nameAttempt(attempt));
            if (found !== undefined && !isActive(found)) {
                known.delete(nameAttempt(attempt));
                record({ event: "attempt-acknowledged", worker, at: now, ...attempt });
            }
        },
        statuses(cell, now) {
            advance(now);
            return [...known.values()].filter(attempt => attempt.cell === cell).map(toStatus);
        },
        find: attempt => known.get(nameAttempt(attempt)),
        findService: service => active.find(attempt => attempt.rule === service && attempt.order.kind === "service"),
        active: () => active,
        advance,
        lose(now) {
            for (const attempt of active) {
                end(attempt, "lost", now, "the worker restarted");
            }
            known.clear();
            highest.clear();
            updateActive();
        },
    };
}

function createAttempt(header: OrderHeader, order: StartOrder, now: number): RunningAttempt {
    return {
        order,
        cell: header.cell,
        startedAtMilliseconds: now,
        rule: order.rule,
        cores: order.resources.cores,
        state: "running",
        progress: order.checkpoint === undefined ? 0 : readCheckpoint(order.checkpoint),
        checkpoint: undefined,
        reason: undefined,
        throttleShare: 1,
        leaseUntilMilliseconds: now + order.leaseMilliseconds,
        advancedAtMilliseconds: now,
        stopsAtMilliseconds: undefined,
        requestsUnderWay: 0,
        slowdown: 1,
    };
}

function nameAttempt(attempt: Attempt): string {
    return `${attempt.taskId}#${attempt.attempt}`;
}

function writeCheckpoint(attempt: RunningAttempt): string {
    return `${attempt.order.taskId}@${attempt.progress}`;
}

function readCheckpoint(checkpoint: string): number {
    const progress = Number(checkpoint.slice(checkpoint.lastIndexOf("@") + 1));
    return Number.isFinite(progress) ? Math.min(1, Math.max(0, progress)) : 0;
}

function toStatus(attempt: RunningAttempt): AttemptStatus {
    return {
        taskId: attempt.order.taskId,
        attempt: attempt.order.attempt,
        rule: attempt.rule,
        cell: attempt.cell,
        state: attempt.state,
        progress: attempt.progress,
        ...(attempt.checkpoint === undefined ? {} : { checkpoint: attempt.checkpoint }),
        ...(attempt.reason === undefined ? {} : { reason: attempt.reason }),
    };
}
