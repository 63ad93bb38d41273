/**
 * Writes why work whose turn has come is not started: for one step, task or job a line, while it waits.
 *
 * Workload: thousands of tasks wait at an owner with a third of a core. Waiting steps are listed once a second. Lines are limited, and those
 * that have been due longest come first. Counts follow from looks at the workers, which many steps share.
 */
import { DECIDED_BY } from "../policy/waiting-reasons.js";
import type { WaitingReason } from "../policy/waiting-reasons.js";
import type { CellContext } from "./context.js";
import type { LatestPass } from "./dispatch.js";
import type { Recovery } from "./recovery.js";
import { listWaitingWork } from "./waiting-list.js";
import type { WaitingWork } from "./waiting-list.js";
import { createWaitingLooks } from "./waiting-looks.js";
import type { WaitingLooks } from "./waiting-looks.js";

/** Work that has waited as long as this, in milliseconds, gets a line. */
const FIRST_LINE_MILLISECONDS = 2_000;

/** Time between two lines on the same work while its reason stays, in milliseconds. */
const NEXT_LINE_MILLISECONDS = 5_000;

/** Limit of lines of one check. With a check a second, each of 1,000 waiting steps has its line within 100 seconds. */
const MAXIMUM_LINES = 10;

/** Number of tasks that have waited for 2 seconds or more, by reason. */
export type WaitingCounts = Readonly<Partial<Record<WaitingReason, number>>>;

/** Follows the waiting tasks and jobs of a cell. */
export interface WaitingLines {
    /** Writes the lines that are due. To be called once a second. */
    check(now: number): WaitingCounts;
}

/** Options of the lines. */
export interface WaitingLinesOptions {
    readonly cell: CellContext;
    readonly recovery: Recovery;
    readonly latestPass: () => LatestPass;
}

/** Waiting work with its state from earlier checks. */
interface FollowedWork {
    /** As the latest check has listed it. */
    work: WaitingWork;
    reason: WaitingReason;
    /** When a check first found the reason. */
    reasonSinceMilliseconds: number;
    /** When a look at the workers last told the reason; -Infinity if none has told it. */
    lookedAtMilliseconds: number;
    /** When a line is due. */
    dueAtMilliseconds: number;
}

/** Starts without any work that waits. */
export function createWaitingLines({ cell, latestPass, recovery }: WaitingLinesOptions): WaitingLines {
    let followed = new Map<WaitingWork["subject"], FollowedWork>();

    const follow = (work: WaitingWork, now: number): FollowedWork => {
        const known = followed.get(work.subject);
        if (known === undefined) {
            return beginFollowing(work, now);
        }
        // What a look at the workers has told stays as it is until a later look tells otherwise.
        if (known.work.reason !== work.reason) {
            setReason(known, work.reason, work.heldSinceMilliseconds ?? now);
            known.dueAtMilliseconds = Math.min(known.dueAtMilliseconds, now);
            known.lookedAtMilliseconds = -Infinity;
        }
        known.work = work;
        return known;
    };

    const writeLine = (line: FollowedWork, now: number): void => {
        const { entry, readyAtMilliseconds, task, tasks } = line.work;
        const { details, reason } = line.work.explain();
        renewReason(line, reason, now);
        line.dueAtMilliseconds = now + NEXT_LINE_MILLISECONDS;
        cell.log.write("task-waiting", {
            job: entry.id,
            queue: entry.queue,
            task: task?.key,
            tasks,
            reason,
            decidedBy: DECIDED_BY[reason],
            heldMilliseconds: Math.round(now - line.reasonSinceMilliseconds),
            waitedMilliseconds: Math.round(now - readyAtMilliseconds),
            epoch: cell.epoch,
            ...details,
        });
    };

    const renewReasons = (lines: readonly FollowedWork[], looks: WaitingLooks, now: number): void => {
        const placeable = lines.flatMap(line => {
            const { reason, task } = line.work;
            return reason === "unexplained" && task !== undefined ? [{ line, task }] : [];
        }).sort(({ line: left }, { line: right }) => compareLooks(left, right));
        const reasons = looks.findReasons(placeable.map(({ task }) => task));
        placeable.forEach(({ line }, index) => {
            const reason = reasons[index];
            if (reason !== undefined) {
                renewReason(line, reason, now);
                line.lookedAtMilliseconds = now;
            }
        });
    };

    return {
        check(now) {
            const looks = createWaitingLooks(cell, latestPass(), now);
            const listed = listWaitingWork(cell, recovery, looks, now);
            followed = new Map(listed.map(work => [work.subject, follow(work, now)]));
            const late = [...followed.values()].filter(line => now - waitingSince(line) >= FIRST_LINE_MILLISECONDS);
            late.filter(({ dueAtMilliseconds }) => dueAtMilliseconds <= now)
                .sort((left, right) => left.dueAtMilliseconds - right.dueAtMilliseconds)
                .slice(0, MAXIMUM_LINES)
                .forEach(line => writeLine(line, now));
            renewReasons(late, looks, now);
            const counts: Partial<Record<WaitingReason, number>> = {};
            for (const { reason, work: { tasks } } of late) {
                counts[reason] = (counts[reason] ?? 0) + tasks;
            }
            return counts;
        },
    };
}

function beginFollowing(work: WaitingWork, now: number): FollowedWork {
    const { heldSinceMilliseconds, reason } = work;
    const line = {
        work,
        reason,
        reasonSinceMilliseconds: heldSinceMilliseconds ?? now,
        lookedAtMilliseconds: -Infinity,
        dueAtMilliseconds: now,
    };
    line.dueAtMilliseconds = waitingSince(line) + FIRST_LINE_MILLISECONDS;
    return line;
}

/** A task with an attempt has waited since that is in doubt, all else since its turn came. */
function waitingSince({ reasonSinceMilliseconds, work }: FollowedWork): number {
    return work.reason === "attempt-unconfirmed" ? reasonSinceMilliseconds : work.readyAtMilliseconds;
}

/** Puts the work first whose latest look is oldest. */
function compareLooks(
    { lookedAtMilliseconds: left }: FollowedWork,
    { lookedAtMilliseconds: right }: FollowedWork,
): number {
    return left === right ? 0 : left - right;
}

/** Sets what a look has told. The reason found by the first one counts from when passes began to consider the work. */
function renewReason(followed: FollowedWork, reason: WaitingReason, now: number): void {
    if (reason !== followed.reason) {
        setReason(followed, reason, followed.reason === "unexplained" ? followed.reasonSinceMilliseconds : now);
    }
}

function setReason(followed: FollowedWork, reason: WaitingReason, sinceMilliseconds: number): void {
    followed.reason = reason;
    followed.reasonSinceMilliseconds = sinceMilliseconds;
}
