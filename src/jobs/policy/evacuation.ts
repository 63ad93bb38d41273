/**
 * Which tasks leave a worker that is about to go.
 *
 * The load that this answers: workers are replaced one after the other, some within seconds; what still runs when a worker
 * goes is lost, and is only started again once its lease has lapsed.
 */
import type { WorkerLoad } from "../job-table/occupancy.js";
import type { Attempt } from "../job-table/task.js";
import type { Durations } from "./durations.js";

/** A worker that says nothing of the time that is left goes at the earliest after this. */
const DEFAULT_NOTICE_MILLISECONDS = 2_000;

/** A task that would end this close to the worker's going leaves as well. */
const MARGIN_MILLISECONDS = 400;

/** Share of the lasting tasks on a worker that are away at the same time, as long as there is time to go one by one. */
const CONCURRENT_MOVE_SHARE = 0.34;

/** Time that a lasting task takes to be at work elsewhere. */
const MOVE_MILLISECONDS = 1_200;

/** Chooses attempts that had better go on elsewhere now. */
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
