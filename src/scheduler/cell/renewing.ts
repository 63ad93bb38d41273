/**
 * Interval between renewals of a worker's leases: long while its tasks only run, short while a start, an end or a
 * failure has to be noticed soon.
 */
import type { Ledger } from "../ledger/ledger.js";
import type { Task } from "../ledger/task.js";
import type { CellSettings } from "../settings.js";
import type { WorkerLink } from "./link.js";

const MILLISECONDS_PER_SECOND = 1_000;

/** Renewals within one lease of a settled worker; two of them may be lost. */
const SETTLED_RENEWALS_PER_LEASE = 3;

/** Short intervals after which a running attempt counts as settled; many attempts fail right after their start. */
const SETTLING_INTERVALS = 2;

/** Input of the renewal interval. */
export interface RenewingInput {
    readonly link: WorkerLink;
    readonly ledger: Ledger;
    readonly settings: CellSettings;
}

/** Longest time between two renewals, in milliseconds. */
export function longestRenewInterval(settings: CellSettings): number {
    return Math.max(settings.renewIntervalMilliseconds, settings.workerLeaseMilliseconds / SETTLED_RENEWALS_PER_LEASE);
}

/** Silence, in milliseconds, after which a worker gets no new tasks. */
export function silenceLimit(settings: CellSettings): number {
    return longestRenewInterval(settings) + settings.renewIntervalMilliseconds;
}

/** Time from the last renewal of a worker to the next, in milliseconds. */
export function chooseRenewalInterval(input: RenewingInput, now: number): number {
    const { settings } = input;
    return isSettled(input, now) ? longestRenewInterval(settings) : settings.renewIntervalMilliseconds;
}

function isSettled({ link, ledger, settings }: RenewingInput, now: number): boolean {
    const hasAnswered = link.incarnation !== undefined && link.failedAtMilliseconds < link.answeredAtMilliseconds;
    const tasks = ledger.committedOn(link.instance.name);
    // Ended and orphaned attempts are cleaned up by one of the next renewals.
    return hasAnswered && link.attempts.length === tasks.length && tasks.every(task =>
        task.state === "running"
        && now - task.sinceMilliseconds >= SETTLING_INTERVALS * settings.renewIntervalMilliseconds
        && !endsSoon({ link, ledger, settings }, task, now)
    );
}

/** True if a batch task may end before the next renewal, by its declared work or its progress so far. */
function endsSoon({ link, ledger, settings }: RenewingInput, task: Task, now: number): boolean {
    const { kind, workSeconds } = ledger.specOf(task);
    if (kind === "service") {
        return false;
    }
    const progress = Math.max(task.checkpointProgress, link.progress.get(task.taskId) ?? 0);
    const elapsed = now - task.sinceMilliseconds;
    const done = progress - task.checkpointProgress;
    const declared = workSeconds * MILLISECONDS_PER_SECOND * (1 - progress);
    const extrapolated = done > 0 ? elapsed * (1 - progress) / done : Infinity;
    return Math.min(declared, extrapolated) < 2 * longestRenewInterval(settings);
}
