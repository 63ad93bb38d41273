/**
 * Workers on which tasks may be started, and how much room they have.
 */
import { stepProgressOf } from "../job-table/job-table.js";
import type { StepProgress } from "../job-table/job.js";
import type { WorkerLoad } from "../job-table/occupancy.js";
import { reservedSize } from "../job-table/occupancy.js";
import type { Task } from "../job-table/task.js";
import { addSize, fitsInto, maximumOf, ZERO_SIZE } from "../model/size.js";
import type { Size } from "../model/size.js";
import type { ListedWorker } from "../model/worker.js";
import { isSuspect } from "./crashes.js";
import type { ExpectedPressure } from "./pacing.js";
import { STARVATIONS } from "./starvation.js";
import type { Starvation } from "./starvation.js";

/** A worker on which tasks may be started. */
export interface Candidate {
    readonly worker: ListedWorker;
    /** Load of the worker, or a copy with the attempts of a plan. */
    load: Readonly<WorkerLoad>;
    /** Capacity set aside for tasks that wait for a worker with enough of it. */
    reservation?: Reservation;
    /** When the worker last reported its measurements. */
    readonly reportedAtMilliseconds?: number;
    /** Expected pressures on the serving tasks; absent until they are needed. */
    plan?: Plan | undefined;
}

/** Capacity of a worker that is set aside for the tasks of a step. */
export interface Reservation {
    readonly step: StepProgress;
    readonly size: Size;
    /** When the capacity is expected to be free. Tasks that are expected to end before may use it. */
    readonly expectedAtMilliseconds: number;
    /** Whether a suspect of a crash is to start there, which starts by itself. */
    readonly isTrial?: boolean;
}

/** Expected pressures on the serving tasks of a worker, and what they were computed from. */
export interface Plan {
    readonly atMilliseconds: number;
    readonly reportedAtMilliseconds: number | undefined;
    /** See `WorkerLoad.changes`. */
    readonly changes: number;
    readonly pressures: readonly ExpectedPressure[];
}

/**
 * Assumed use of the cores reserved for serving tasks. The sites' data sheets state 0.42 on average; while the use is higher,
 * fillers get less, and pacing keeps the serving tasks within their objectives.
 */
const SERVING_USE_SHARE = 0.45;

/** A filler is not placed where it would get less than this share of its cores. */
export const MINIMUM_FILLER_SHARE = 0.6;

/** Where a filler shares cores with other fillers. */
interface SharingLimits {
    /** It is not placed where all of them would get less than this share of theirs. */
    readonly minimumShare: number;
    /** Whether it is placed beside tasks that reserve cores. */
    readonly isBesideReserved: boolean;
}

const SHARING_LIMITS: Readonly<Record<Starvation, SharingLimits>> = {
    none: { minimumShare: Infinity, isBesideReserved: false },
    waiting: { minimumShare: Infinity, isBesideReserved: false },
    idle: { minimumShare: 0.4, isBesideReserved: false },
    late: { minimumShare: 0.15, isBesideReserved: true },
    starving: { minimumShare: 0.15, isBesideReserved: true },
};

/**
 * Whether a filler may share the cores of a worker with those that run there. Fillers only get cores that no other task has reserved. Beside
 * tasks that serve, which fillers disturb, none are shared.
 */
export function canShareCores({ step }: Task, candidate: Candidate, starvation: Starvation): boolean {
    return step.size.millicores <= sharedMillicoresOf(candidate, starvation);
}

/**
 * Most cores that a filler may ask for where it shares those of others, in thousandths. Where fillers of late jobs have brought a worker below
 * the share at which others start, no cores become idle for these, so that they may take as much.
 */
function sharedMillicoresOf({ load, worker }: Candidate, starvation: Starvation): number {
    const { fillerMillicores, servingCount, used } = load;
    const left = worker.capacity.millicores - used.millicores;
    const isTakenByLate = fillerMillicores * SHARING_LIMITS.idle.minimumShare > left;
    const limits = SHARING_LIMITS[isTakenByLate && starvation !== "none" ? "late" : starvation];
    const isShared = limits.isBesideReserved ? servingCount === 0 : used.millicores === 0;
    return isShared ? left / limits.minimumShare - fillerMillicores : -Infinity;
}

/** Whether the fillers of a worker get less of their cores than fillers are placed for, unless their jobs stand still. */
export function sharesCores(candidate: Candidate): boolean {
    const { load: { fillerMillicores } } = candidate;
    return idleMillicores(candidate) + fillerMillicores < fillerMillicores * MINIMUM_FILLER_SHARE;
}

/** How a task treats capacity that is reserved for others. */
export interface EligibilityOptions {
    /** The task has waited so long that it may not fit again for a long time. */
    readonly ignoresReservations?: boolean;
    /** When the task is expected to end if it starts now; absent if that is not known. */
    readonly expectedEndMilliseconds?: number;
}

/** What a worker lacks for a task. */
export type Ineligibility =
    | "label-missing"
    /** It is kept for a suspect of a crash, which starts by itself. */
    | "kept-for-suspect"
    /** Too little of its capacity is free; capacity that is reserved for other tasks is not free. */
    | "no-room"
    /** It runs as many tasks of the step as one worker may. */
    | "limit-per-worker";

/** Whether the worker may run the task and has enough free capacity. Capacity that is reserved for other tasks is not free. */
export function isEligible(task: Task, candidate: Candidate, options: EligibilityOptions = {}): boolean {
    return findIneligibility(task, candidate, options) === undefined;
}

/** Finds what a worker lacks for a task; absent if it is eligible. */
export function findIneligibility(
    task: Task,
    candidate: Candidate,
    options: EligibilityOptions = {},
): Ineligibility | undefined {
    const { load, worker } = candidate;
    const { step } = task;
    const { requiredLabel } = step;
    if (requiredLabel !== undefined && !worker.labels.includes(requiredLabel)) {
        return "label-missing";
    }
    if (isKeptForTrial(task, candidate)) {
        return "kept-for-suspect";
    }
    const freeCapacity = maximumOf(
        addSize(addSize(worker.capacity, load.used, -1), reservedFrom(task, candidate, options), -1),
        ZERO_SIZE,
    );
    if (!fitsInto(reservedSize(step), freeCapacity)) {
        return "no-room";
    }
    return isWithinLimit(task, load) ? undefined : "limit-per-worker";
}

/** Why a worker has no room for a task. */
export type RoomObstacle =
    /** The task is larger than the whole worker. */
    | "never-fits"
    /** Other tasks use the room. */
    | "no-room"
    /** The room is kept for a task that fitted nowhere, until it is expected to be enough. */
    | "reserved-ahead"
    /** The room is kept for a lasting task that has waited too long. */
    | "reserved-for-overdue";

/** Tells why a worker that `findIneligibility` found without room for a task has none. */
export function explainRoom({ step }: Task, { load, reservation, worker }: Candidate): RoomObstacle {
    const size = reservedSize(step);
    if (!fitsInto(size, worker.capacity)) {
        return "never-fits";
    }
    const isFreeOfOthers = fitsInto(size, maximumOf(addSize(worker.capacity, load.used, -1), ZERO_SIZE));
    if (reservation === undefined || !isFreeOfOthers) {
        return "no-room";
    }
    return reservation.expectedAtMilliseconds === -Infinity ? "reserved-for-overdue" : "reserved-ahead";
}

/**
 * Whether a worker is to get no start but those of a suspect or its gang, so that it becomes quiet enough for them. Tasks that last start so
 * seldom that it becomes quiet beside them.
 */
function isKeptForTrial(task: Task, { reservation }: Candidate): boolean {
    return reservation?.isTrial === true && !task.step.isLasting
        && !(reservation.step === stepProgressOf(task) && (isSuspect(task) || task.step.isGang));
}

/** Capacity of a worker that a task has to leave to others. */
function reservedFrom(
    task: Task,
    { reservation }: Candidate,
    { expectedEndMilliseconds = Infinity, ignoresReservations = false }: EligibilityOptions,
): Size {
    const isBound = reservation !== undefined && !ignoresReservations
        && !(reservation.isTrial === true && task.step.isLasting) && reservation.step !== stepProgressOf(task)
        && expectedEndMilliseconds > reservation.expectedAtMilliseconds;
    return isBound ? reservation.size : ZERO_SIZE;
}

/** Whether the worker may run another task of the step. */
export function isWithinLimit(
    { occurrence, step: { limitPerWorker }, stepIndex }: Task,
    load: Readonly<WorkerLoad>,
): boolean {
    if (limitPerWorker > 0) {
        const onWorker = load.attempts.filter(({ task }) =>
            task.occurrence === occurrence && task.stepIndex === stepIndex
        );
        return onWorker.length < limitPerWorker;
    }
    return true;
}

/** Cores of a worker that are expected to stay unused, in thousandths. */
export function idleMillicores({ load, worker }: Candidate): number {
    const others = load.used.millicores - load.servingMillicores;
    return worker.capacity.millicores - others - load.servingMillicores * SERVING_USE_SHARE - load.fillerMillicores;
}

/** Largest free capacity of any candidate, each dimension by itself; the cores are those that a filler may use, too. */
export interface LargestRoom {
    readonly free: Size;
    readonly idleMillicores: number;
    /** Most cores that a filler may ask for where it shares those of others, see `canShareCores`. */
    readonly sharedMillicores: Readonly<Record<Starvation, number>>;
    /** Free capacity of all candidates together. */
    readonly totalFree: Size;
}

/** Finds the largest free capacity, which tasks that fit nowhere are compared with instead of with each worker. */
export function findLargestRoom(candidates: Iterable<Candidate>): LargestRoom {
    const free = { ...ZERO_SIZE };
    let totalFree = ZERO_SIZE;
    let idle = 0;
    const shared = { none: -Infinity, waiting: -Infinity, idle: -Infinity, late: -Infinity, starving: -Infinity };
    for (const candidate of candidates) {
        const { load: { used }, worker: { capacity } } = candidate;
        free.millicores = Math.max(free.millicores, capacity.millicores - used.millicores);
        free.memoryMegabytes = Math.max(free.memoryMegabytes, capacity.memoryMegabytes - used.memoryMegabytes);
        free.accelerators = Math.max(free.accelerators, capacity.accelerators - used.accelerators);
        totalFree = addSize(totalFree, maximumOf(addSize(capacity, used, -1), ZERO_SIZE));
        idle = Math.max(idle, idleMillicores(candidate));
        for (const starvation of STARVATIONS) {
            shared[starvation] = Math.max(shared[starvation], sharedMillicoresOf(candidate, starvation));
        }
    }
    return { free, idleMillicores: idle, sharedMillicores: shared, totalFree };
}

/** Whether a worker may have enough room for a task, and all of them for its gang; if not, they have not. */
export function mayFit(
    { step }: Task,
    { free, idleMillicores: idle, sharedMillicores, totalFree }: LargestRoom,
    starvation: Starvation,
): boolean {
    const size = reservedSize(step);
    return fitsInto(size, free)
        && (!step.isGang || fitsInto(addSize(ZERO_SIZE, size, step.taskCount), totalFree))
        && (!step.isFiller || step.size.millicores <= sharedMillicores[starvation]
            || idle >= step.size.millicores * MINIMUM_FILLER_SHARE);
}

/** Whether a worker may have room for a task twice over; if not, none has. */
export function mayFitTwice({ step }: Task, { free }: LargestRoom): boolean {
    return fitsInto(addSize(ZERO_SIZE, reservedSize(step), 2), free);
}

/** Share of a pool's cores held by lasting tasks from which on short tasks that can be on time go before more of them. */
const SCARCE_LASTING_SHARE = 0.85;

/** Whether lasting tasks hold nearly all of a pool, so that little is left for others. */
export function isHeldByLasting(candidates: Iterable<Candidate>): boolean {
    let capacity = 0;
    let lasting = 0;
    for (const { load, worker } of candidates) {
        capacity += worker.capacity.millicores;
        for (const { task: { step } } of load.attempts) {
            lasting += step.isLasting ? reservedSize(step).millicores : 0;
        }
    }
    return lasting >= capacity * SCARCE_LASTING_SHARE;
}
