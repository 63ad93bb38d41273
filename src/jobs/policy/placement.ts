/**
 * Choice of a worker for a task.
 *
 * Workload: serving tasks reserve cores that they use only in part. Fillers use the remaining cores and slow down serving
 * tasks on the same worker. Serving tasks are packed together, and fillers go to other workers while there are any.
 */
import { stepProgressOf } from "../job-table/job-table.js";
import { isServing } from "../job-table/occupancy.js";
import type { Task } from "../job-table/task.js";
import { canShareCores, findIneligibility, idleMillicores, MINIMUM_FILLER_SHARE } from "./candidate.js";
import type { Candidate, Ineligibility } from "./candidate.js";
import { findCrashPrecaution, isSuspect } from "./crashes.js";
import type { CrashPrecaution } from "./crashes.js";
import type { Interference } from "./interference.js";
import { isOverdue } from "./order.js";
import { chooseStartingPace, hasHeadroom, planPressures } from "./pacing.js";
import type { ExpectedPressure } from "./pacing.js";
import { createRanking } from "./ranking.js";
import type { Starvation } from "./starvation.js";

/** A plan is computed again after this, because the load of serving tasks changes by itself. */
const PLAN_VALID_MILLISECONDS = 100;

/** Options of a placement. */
export interface PlacementOptions {
    /** How badly the task's job needs it to start, which allows workers that a filler does not start on otherwise. */
    readonly starvation?: Starvation;
    /** When the task is expected to have ended if it starts now; it may use capacity that is reserved for a later time. */
    readonly expectedEndMilliseconds?: number;
}

/** Pace of a filler that starts where it may do harm, because its job starves. */
const STARVING_PACE_PERCENT = 30;

/** Chooses a worker for a task; returns undefined if the task has to wait. */
export function chooseWorker(
    task: Task,
    candidates: Iterable<Candidate>,
    model: Interference,
    now: number,
    options: PlacementOptions = {},
): Candidate | undefined {
    return rankCandidates(task, candidates, model, now, options).choose(task);
}

/** Candidates ranked for the tasks of one step that are placed one after the other. */
export interface CandidateRanking {
    /** Chooses a worker for a task; `undefined` if the task has to wait. */
    choose(task: Task): Candidate | undefined;
}

/**
 * Ranks the candidates for a task, and for others that they rank alike for while nothing but these is placed. Each placement changes the score
 * of the worker that it uses; those of the other workers stay, or fall where they depend on trials of images.
 */
export function rankCandidates(
    task: Task,
    candidates: Iterable<Candidate>,
    model: Interference,
    now: number,
    options: PlacementOptions = {},
): CandidateRanking {
    const findObstacle = createObstacleSearch(task, model, now, options);
    const score = (candidate: Candidate): number =>
        findObstacle(candidate) === undefined
            ? scoreCandidate(task, candidate, model, now)
                - (isSuspect(task) ? candidate.load.attempts.length * SUSPECT_NEIGHBOR_PENALTY : 0)
                - (candidate.worker.isCold ? COLD_PENALTY : 0)
            : -Infinity;
    const ranking = createRanking(candidates, score);
    return {
        choose: ({ avoidedWorkers }) =>
            ranking.first(({ worker }) => !avoidedWorkers.includes(worker.id)) ?? ranking.first(() => true),
    };
}

/** What stands against a filler on a worker. */
export type FillerObstacle =
    /** It would get too small a share of its cores. */
    | "too-few-idle-cores"
    /** It is expected to slow down serving tasks, or its effect on them is being measured elsewhere. */
    | "interference";

/** What stands against the start of a task on a worker that takes starts. */
export type PlacementObstacle = CrashPrecaution | FillerObstacle | Ineligibility;

/** Returns a function that finds what stands against the start of a task on a candidate; absent if nothing does. */
export function createObstacleSearch(
    task: Task,
    model: Interference,
    now: number,
    { expectedEndMilliseconds = Infinity, starvation = "none" }: PlacementOptions,
): (candidate: Candidate) => PlacementObstacle | undefined {
    const eligibility = { ignoresReservations: isOverdue(task, now), expectedEndMilliseconds };
    return candidate =>
        findCrashPrecaution(task, candidate.load, now)
            ?? findIneligibility(task, candidate, eligibility)
            ?? findFillerObstacle(task, candidate, model, now, starvation);
}

function findFillerObstacle(
    task: Task,
    candidate: Candidate,
    model: Interference,
    now: number,
    starvation: Starvation,
): FillerObstacle | undefined {
    const { step } = task;
    // A serving task is ranked as one, whatever else it is.
    if (!step.isFiller || isServing(step)) {
        return undefined;
    }
    const { load, worker } = candidate;
    if (!hasIdleCores(task, candidate) && !canShareCores(task, candidate, starvation)) {
        return "too-few-idle-cores";
    }
    if (load.servingCount === 0) {
        return undefined;
    }
    const share = step.size.millicores / worker.capacity.millicores;
    const pressures = pressuresOf(candidate, model, now);
    const isFit = chooseStartingPace(step.image, share, pressures, model, now) !== undefined
        || starvation === "starving" && hasHeadroom(load, pressures);
    return isFit ? undefined : "interference";
}

/** Whether a filler would get enough of the cores that stay unused. */
function hasIdleCores({ step }: Task, candidate: Candidate): boolean {
    return idleMillicores(candidate) >= step.size.millicores * MINIMUM_FILLER_SHARE;
}

/** Whether the workers rank alike for two tasks. */
export function isRankedAlike(left: Task, right: Task, now: number): boolean {
    return stepProgressOf(left) === stepProgressOf(right) && isOverdue(left, now) === isOverdue(right, now)
        && isSuspect(left) === isSuspect(right);
}

/** Expected pressures on the serving tasks of a candidate, kept for a short time unless its attempts or measurements change. */
function pressuresOf(candidate: Candidate, model: Interference, now: number): readonly ExpectedPressure[] {
    const { load, plan, reportedAtMilliseconds, worker } = candidate;
    const isValid = plan !== undefined && plan.changes === load.changes
        && plan.reportedAtMilliseconds === reportedAtMilliseconds
        && now - plan.atMilliseconds < PLAN_VALID_MILLISECONDS;
    if (isValid) {
        return plan.pressures;
    }
    const pressures = planPressures(load, worker.capacity.millicores, model, now);
    candidate.plan = { atMilliseconds: now, reportedAtMilliseconds, changes: load.changes, pressures };
    return pressures;
}

/** Pace, in percent, at which a task starts on the worker that was chosen for it. */
export function startingPaceOf({ step }: Task, candidate: Candidate, model: Interference, now: number): number {
    if (!step.isFiller || candidate.load.servingCount === 0) {
        return 100;
    }
    const share = step.size.millicores / candidate.worker.capacity.millicores;
    return chooseStartingPace(step.image, share, pressuresOf(candidate, model, now), model, now)
        ?? STARVING_PACE_PERCENT;
}

/** Largest part of a serving step's remaining tolerance that a filler is expected to take. */
function takenTolerance(
    { step }: Task,
    share: number,
    pressures: readonly ExpectedPressure[],
    model: Interference,
    now: number,
): number {
    return pressures.reduce((largest, { planned, pressure, progress }) => {
        const { mean } = model.estimateWeight(progress.step.image, step.image, now);
        return Math.max(largest, mean * share / Math.max(planned - pressure, SMALLEST_TOLERANCE));
    }, 0);
}

/** Scores a worker that nothing stands against for a task; the highest score wins. */
function scoreCandidate(task: Task, candidate: Candidate, model: Interference, now: number): number {
    const { load, worker } = candidate;
    const { step } = task;
    const idle = idleMillicores(candidate);
    const freeMillicores = worker.capacity.millicores - load.used.millicores;
    const distancePenalty = step.dataRack === undefined || worker.labels.includes(step.dataRack)
        ? 0
        : REMOTE_DATA_PENALTY;
    if (isServing(step)) {
        // Packs tasks of the same step, or else image, together, so that fillers find workers where they do not interfere.
        const sameStep = load.attempts.filter(({ task: other }) =>
            other.occurrence === task.occurrence && other.stepIndex === task.stepIndex
        ).length;
        const sameImage = load.attempts.filter(({ task: { step: other } }) =>
            other.image === step.image
        ).length;
        const others = load.servingCount - sameImage;
        return sameStep * SAME_STEP_BONUS + sameImage * SAME_IMAGE_BONUS - others * OTHER_IMAGE_PENALTY
            - load.fillerMillicores - freeMillicores - distancePenalty;
    }
    if (step.isFiller) {
        if (load.servingCount > 0) {
            const share = step.size.millicores / worker.capacity.millicores;
            const pressures = pressuresOf(candidate, model, now);
            return Math.min(idle, step.size.millicores) - BESIDE_SERVING_PENALTY
                - takenTolerance(task, share, pressures, model, now) * TOLERANCE_PENALTY - distancePenalty;
        }
        return idle - (hasIdleCores(task, candidate) ? 0 : SHARING_PENALTY) - distancePenalty;
    }
    // Best fit, so that larger gaps stay free for larger tasks, except where fillers leave the task too few cores.
    return -freeMillicores - Math.max(0, -idle) * STARVING_WEIGHT - distancePenalty;
}

/** Weights in thousandths of a core, the unit of the other terms of the score. */
const SAME_STEP_BONUS = 20_000;
const SAME_IMAGE_BONUS = 1_000;
const OTHER_IMAGE_PENALTY = 100_000;

/** Makes the whole tolerance of a serving step equal to the idle cores of a worker. */
const TOLERANCE_PENALTY = 30_000;

/** Tolerance of a step that has none left, which keeps the quotient finite. */
const SMALLEST_TOLERANCE = 0.01;

/** Weight of cores that fillers already use: a task without them runs slower than planned. */
const STARVING_WEIGHT = 2;

/** Outweighs any amount of idle cores, in thousandths of a core. */
const BESIDE_SERVING_PENALTY = 1_000_000;

/** Outweighs a worker with serving tasks: a filler that shares cores slows down those that run there. */
const SHARING_PENALTY = 2_000_000;

/** Outweighs a worker with serving tasks: a crash ends all tasks beside the suspect. */
const SUSPECT_NEIGHBOR_PENALTY = 2_000_000;

/** Outweighs idle cores, so that a cold worker is used where no other has room; not data on another rack. */
const COLD_PENALTY = 150_000;

/** Outweighs idle cores, but not the penalty for a worker with serving tasks. */
const REMOTE_DATA_PENALTY = 200_000;
