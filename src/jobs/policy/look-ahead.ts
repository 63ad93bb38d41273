/**
 * Reservations that gather room for tasks that found no worker, by the ends that are expected soon.
 *
 * Workload: short tasks of different sizes stream in and take each gap before it is large enough for a large task or a gang. A reservation
 * binds tasks of the same and of lower priorities, unless their jobs are about to be late; what is expected to be gone in time may use the
 * room.
 */
import { stepProgressOf } from "../job-table/job-table.js";
import type { StepProgress } from "../job-table/job.js";
import type { Task } from "../job-table/task.js";
import type { JobStep } from "../model/job.js";
import { addSize, fitsInto, ZERO_SIZE } from "../model/size.js";
import type { Candidate } from "./candidate.js";
import { findGap, isWithinPool } from "./gap.js";
import type { Hold } from "./gap.js";
import { isPressed, isWorthWaiting } from "./urgency.js";
import type { UrgencyOptions } from "./urgency.js";

/** A reservation whose room has not come by its time is given up after this, in milliseconds. */
const PATIENCE_MILLISECONDS = 500;

/** A worker whose room has not come is not reserved for the same step for this time, in milliseconds. */
const AVOIDANCE_MILLISECONDS = 4_000;

/** A step that found no room is looked at again after this, in milliseconds. */
const SEARCH_INTERVAL_MILLISECONDS = 100;

/** Time between two searches, each of which looks at all attempts of a pool, in milliseconds. */
const SEARCH_GAP_MILLISECONDS = 50;

/** Reservations of a step that has not asked for them for this time are forgotten, in milliseconds. */
const MEMORY_MILLISECONDS = 1_000;

/** Nothing is reserved for this time after a small job was about to be late, in milliseconds: what stays idle makes others late. */
const OVERLOAD_MILLISECONDS = 1_000;

/** Limit of steps that are looked ahead for at the same time. */
const MAXIMUM_STEPS = 32;

/** Sizes of started tasks are remembered for this time, in milliseconds, to know what takes gaps. */
const SIZE_MEMORY_MILLISECONDS = 10_000;

/** Limit of the sizes that are remembered. */
const MAXIMUM_SIZES = 64;

/** A lasting step that has been ready for this time, in milliseconds, is not kept from a worker with room for two of its tasks. */
const LASTING_WAIT_MILLISECONDS = 1_500;

/** Reservations that a cell keeps from one pass to the next. They are a hint: a successor starts without any. */
export interface LookAhead {
    /** Begins a pass. */
    startPass(now: number): LookAheadPass;
    /** Number of workers that are reserved. */
    reservedWorkers(): number;
}

/** What a pass reserves. */
export interface LookAheadPass {
    /** Puts the reservations that bind a task into effect, but for those that it may not be kept waiting by; tells whether it lifted any. */
    bind(task: Task, candidates: readonly Candidate[], options: UrgencyOptions): boolean;
    /** Remembers the size of a task that was placed. */
    recordPlacement(task: Task): void;
    /** Reserves workers for a task that found none, or for its gang. */
    reserve(task: Task, candidates: readonly Candidate[], options: UrgencyOptions): void;
}

/** Reservations of a step that waits for room. */
interface WaitingStep {
    readonly step: StepProgress;
    readonly pool: string | undefined;
    readonly priority: number;
    holds: readonly Hold[];
    /** Workers whose room did not come, and until when they are left out. */
    readonly avoidedUntil: Map<string, number>;
    askedAtMilliseconds: number;
    searchesFromMilliseconds: number;
}

/** Creates a memory without reservations. */
export function createLookAhead(): LookAhead {
    const waitingSteps = new Map<StepProgress, WaitingStep>();
    const sizes = new Map<number, number>();
    let searchesFromMilliseconds = 0;
    /** When a task was last seen whose job was about to be late. */
    let pressedAtMilliseconds = -Infinity;

    const waitingStepOf = (
        task: Task,
        candidates: readonly Candidate[],
        priority: number,
        now: number,
    ): WaitingStep | undefined => {
        const step = stepProgressOf(task);
        const found = waitingSteps.get(step);
        // A step that the pool cannot hold would keep its place from others as long as it waits.
        if (found !== undefined || waitingSteps.size >= MAXIMUM_STEPS || !isWithinPool(task, candidates)) {
            return found;
        }
        const created: WaitingStep = {
            step,
            pool: candidates[0]?.worker.pool,
            priority,
            holds: [],
            avoidedUntil: new Map(),
            askedAtMilliseconds: now,
            searchesFromMilliseconds: now,
        };
        waitingSteps.set(step, created);
        return created;
    };

    /** Whether tasks are placed that are smaller than those of the step, so that they may take a gap that it waits for. */
    const isContested = ({ isGang, size }: JobStep): boolean =>
        isGang || [...sizes.keys()].some(millicores => millicores < size.millicores);

    return {
        reservedWorkers: () => [...waitingSteps.values()].reduce((sum, { holds }) => sum + holds.length, 0),
        startPass(now) {
            forgetOld(waitingSteps, sizes, now);
            /** Steps whose holds are in effect. */
            const effective = new Set<WaitingStep>();
            let hasCheckedPressure = false;
            const indexes = new Map<readonly Candidate[], ReadonlyMap<string, Candidate>>();

            const indexOf = (candidates: readonly Candidate[]): ReadonlyMap<string, Candidate> => {
                const index = indexes.get(candidates)
                    ?? new Map(candidates.map(candidate => [candidate.worker.id, candidate]));
                indexes.set(candidates, index);
                return index;
            };

            return {
                bind(task, candidates, options) {
                    const pool = candidates[0]?.worker.pool;
                    const priority = options.queue?.priority ?? 0;
                    let isExempt: boolean | undefined;
                    let hasLifted = false;
                    for (const waiting of waitingSteps.values()) {
                        const { holds, step } = waiting;
                        if (holds.length === 0 || waiting.priority > priority || waiting.pool !== pool) {
                            continue;
                        }
                        isExempt ??= isPressed(task, options, now);
                        if (isExempt) {
                            pressedAtMilliseconds = now;
                        }
                        const isBinding = step.readyCount > 0 && !isExempt;
                        if (isBinding && !effective.has(waiting)) {
                            effective.add(waiting);
                            giveUpLate(waiting, now);
                            applyHolds(waiting, indexOf(candidates));
                        }
                        else if (!isBinding && effective.delete(waiting)) {
                            hasLifted = withdrawHolds(waiting, indexOf(candidates), () => true) || hasLifted;
                        }
                    }
                    const readyAt = stepProgressOf(task).readyAtMilliseconds ?? now;
                    if (task.step.isLasting && now - readyAt >= LASTING_WAIT_MILLISECONDS) {
                        const room = addSize(ZERO_SIZE, task.step.size, 2);
                        for (const waiting of effective) {
                            const hasRoom = ({ load, worker }: Candidate): boolean =>
                                fitsInto(room, addSize(worker.capacity, load.used, -1));
                            hasLifted = withdrawHolds(waiting, indexOf(candidates), hasRoom) || hasLifted;
                        }
                    }
                    return hasLifted;
                },
                recordPlacement({ step }) {
                    if (!step.isFiller && !step.isLasting) {
                        // Puts the size last, so that the first one is the one to forget.
                        sizes.delete(step.size.millicores);
                        sizes.set(step.size.millicores, now);
                    }
                },
                reserve(task, candidates, options) {
                    const { step } = task;
                    // Fillers keep no cores, and what lasts finds no gap that ends.
                    if (step.isFiller || step.isLasting) {
                        return;
                    }
                    if (!isContested(step)) {
                        if (!hasCheckedPressure) {
                            hasCheckedPressure = true;
                            pressedAtMilliseconds = isPressed(task, options, now) ? now : pressedAtMilliseconds;
                        }
                        return;
                    }
                    const priority = options.queue?.priority ?? 0;
                    const waiting = waitingStepOf(task, candidates, priority, now);
                    if (waiting === undefined) {
                        return;
                    }
                    waiting.askedAtMilliseconds = now;
                    giveUpLate(waiting, now);
                    const searchesFrom = Math.max(searchesFromMilliseconds, waiting.searchesFromMilliseconds);
                    const isOverloaded = now - pressedAtMilliseconds < OVERLOAD_MILLISECONDS;
                    if (waiting.holds.length > 0 || now < searchesFrom || isOverloaded) {
                        return;
                    }
                    searchesFromMilliseconds = now + SEARCH_GAP_MILLISECONDS;
                    waiting.searchesFromMilliseconds = now + SEARCH_INTERVAL_MILLISECONDS;
                    const holds = findGap(task, candidates, waiting.avoidedUntil, options.durations, now);
                    if (holds.every(hold => isWorthWaiting(task, options, hold.expectedAtMilliseconds, now))) {
                        waiting.holds = holds;
                        effective.add(waiting);
                        applyHolds(waiting, indexOf(candidates));
                    }
                },
            };
        },
    };
}

function forgetOld(waitingSteps: Map<StepProgress, WaitingStep>, sizes: Map<number, number>, now: number): void {
    for (const [step, { askedAtMilliseconds }] of waitingSteps) {
        if (now - askedAtMilliseconds > MEMORY_MILLISECONDS) {
            waitingSteps.delete(step);
        }
    }
    for (const [millicores, seenAt] of sizes) {
        if (now - seenAt > SIZE_MEMORY_MILLISECONDS || sizes.size > MAXIMUM_SIZES) {
            sizes.delete(millicores);
        }
    }
}

/** Gives up all holds of a step if the room of one of them has not come by its time. */
function giveUpLate(waiting: WaitingStep, now: number): void {
    for (const [worker, until] of waiting.avoidedUntil) {
        if (now >= until) {
            waiting.avoidedUntil.delete(worker);
        }
    }
    const late = waiting.holds.filter(hold => now > hold.expectedAtMilliseconds + PATIENCE_MILLISECONDS);
    if (late.length > 0) {
        late.forEach(({ worker }) => waiting.avoidedUntil.set(worker, now + AVOIDANCE_MILLISECONDS));
        waiting.holds = [];
    }
}

/** Reserves the workers that are held for a step; gives all of them up if one is gone or taken. */
function applyHolds(waiting: WaitingStep, candidates: ReadonlyMap<string, Candidate>): void {
    const held = waiting.holds.map(hold => ({ hold, candidate: candidates.get(hold.worker) }));
    if (held.some(({ candidate }) => candidate === undefined || candidate.reservation !== undefined)) {
        waiting.holds = [];
        return;
    }
    for (const { candidate, hold: { expectedAtMilliseconds, size } } of held) {
        if (candidate !== undefined) {
            candidate.reservation = { step: waiting.step, size, expectedAtMilliseconds };
        }
    }
}

/** Takes the reservations of a step off those workers that the condition holds for; tells whether there were any. */
function withdrawHolds(
    { holds, step }: WaitingStep,
    candidates: ReadonlyMap<string, Candidate>,
    isWithdrawn: (candidate: Candidate) => boolean,
): boolean {
    let hasWithdrawn = false;
    for (const { worker } of holds) {
        const candidate = candidates.get(worker);
        if (candidate?.reservation?.step === step && isWithdrawn(candidate)) {
            delete candidate.reservation;
            hasWithdrawn = true;
        }
    }
    return hasWithdrawn;
}
