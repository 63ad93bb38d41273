/**
 * Choice of the attempts that are moved away from a draining worker.
 *
 * Workload: workers are replaced one after the other, some within seconds. Attempts that still run when a worker leaves are
 * lost, and are started again only after the worker's lease has lapsed.
 */
import type { WorkerLoad } from "../job-table/occupancy.js";
import type { Attempt } from "../job-table/task.js";
import type { Durations } from "./durations.js";

/** Assumed notice of a draining worker that announces no time. */
const DEFAULT_NOTICE_MILLISECONDS = 2_000;

/** A task that would end within this time before the worker leaves is moved as well. */
const MARGIN_MILLISECONDS = 400;

/** Share of a worker's lasting tasks that are moved at the same time while there is time for several rounds. */
const CONCURRENT_MOVE_SHARE = 0.34;

/** Time until a moved lasting task works on its new worker. */
const MOVE_MILLISECONDS = 1_200;

/** Chooses the attempts to move now. */
export function chooseEvacuations(
    load: Readonly<WorkerLoad>,
    leavesAtMilliseconds: number | undefined,
    drainingSinceMilliseconds: number,
    durations: Durations,
    now: number,
): Attempt[] {
    const leavesAt = leavesAtMilliseconds ?? drainingSinceMilliseconds + DEFAULT_NOTICE_MILLISECONDS;
    const remainingMilliseconds = leavesAt - now - MARGIN_MILLISECONDS;
    const running = load.attempts.filter(({ phase }) => phase === "running");
    const checkpointed = running.filter(attempt => {
        const { percent, task: { step } } = attempt;
        return step.savesProgress && !step.isLasting
            && durations.estimate(step) * (1 - percent / 100) > remainingMilliseconds;
    });
    const lasting = running.filter(({ task }) => task.step.isLasting);
    const leaving = load.attempts.filter(({ phase, task }) => task.step.isLasting && phase === "stopping").length;
    const rounds = Math.max(1, Math.floor(remainingMilliseconds / MOVE_MILLISECONDS));
    const concurrentMoves = Math.max(1, Math.ceil(lasting.length * Math.max(CONCURRENT_MOVE_SHARE, 1 / rounds)));
    return [...checkpointed, ...lasting.slice(0, Math.max(0, concurrentMoves - leaving))];
}
