/**
 * Choice of the attempts that are moved to other workers, because theirs drain.
 *
 * A draining worker leaves within seconds, with all that runs on it. A closed data centre does not: its workers go on with what they run, so
 * that nothing is moved out of it, see `docs/design/closed-data-centres.md`.
 */
import type { WorkerLoad } from "../job-table/occupancy.js";
import type { Attempt, Task } from "../job-table/task.js";
import type { Durations } from "./durations.js";
import { chooseEvacuations } from "./evacuation.js";

/** A worker whose attempts may be moved. */
export interface LeftWorker {
    readonly load: Readonly<WorkerLoad>;
    readonly isAnswering: boolean;
    /** Since when the worker has been draining; absent while it is not. */
    readonly drainingSinceMilliseconds: number | undefined;
    /** Earliest announced time at which the worker leaves; absent if it has announced none. */
    readonly leavesAtMilliseconds: number | undefined;
}

/** What moves are chosen from. */
export interface MoveSituation {
    readonly reviewedWorkers: readonly LeftWorker[];
    readonly durations: Durations;
    /** Whether another worker can run the task now. */
    canRunElsewhere(task: Task): boolean;
}

/** An attempt that is stopped so that its task goes on elsewhere. */
export interface Move {
    readonly attempt: Attempt;
    readonly reason: string;
    /** Whether the attempt gives way to more urgent work. */
    readonly isGivingWay?: boolean;
    /** Time left until its worker leaves; absent if it has announced none. */
    readonly leavesInMilliseconds?: number | undefined;
}

/** Chooses the attempts to move now, each only if another worker can run its task. */
export function chooseMoves(situation: MoveSituation, now: number): Move[] {
    const { durations, reviewedWorkers } = situation;
    return reviewedWorkers.flatMap(worker => {
        const { drainingSinceMilliseconds: since, isAnswering, leavesAtMilliseconds: leavesAt, load } = worker;
        if (since === undefined || !isAnswering) {
            return [];
        }
        return chooseEvacuations(load, leavesAt, since, durations, now)
            .filter(({ task }) => situation.canRunElsewhere(task))
            .map(attempt => ({
                attempt,
                reason: "worker is draining",
                leavesInMilliseconds: leavesAt === undefined ? undefined : Math.round(leavesAt - now),
            }));
    });
}
