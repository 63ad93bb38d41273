/**
 * First part of a cell's round: takes what workers have told, or no longer tell, into the ledger's draft.
 */
import type { CellSettings } from "../settings.js";
import type { WorkerEvent, WorkerLink } from "./link.js";
import { hasUnansweredRenewal, leasesEndAt, observeEvent, observeSilence } from "./observe.js";
import type { ObserveInput } from "./observe.js";

/** What the intake works on. */
export interface ObserveWorkersInput extends ObserveInput {
    readonly links: ReadonlyMap<string, WorkerLink>;
    readonly settings: CellSettings;
    readonly claimedAtMilliseconds: number;
    /** When renewals by former owners end at the latest. */
    readonly predecessorsEndMilliseconds: number;
    /** Ends the task of a worker that is gone and holds nothing. */
    dropWorker(worker: string): void;
}

/** Takes in events, leases that have lapsed, and workers that are gone. */
export function observeWorkers(input: ObserveWorkersInput, events: readonly WorkerEvent[], now: number): void {
    for (const event of events) {
        observeEvent(input, event, now);
    }
    observeSilentWorkers(input, now);
    for (const { isListed: listed, instance } of [...input.links.values()]) {
        if (!listed && input.ledger.committedOn(instance.name).length === 0) {
            input.dropWorker(instance.name);
        }
    }
}

function observeSilentWorkers(input: ObserveWorkersInput, now: number): void {
    const { ledger, links, settings, predecessorsEndMilliseconds } = input;
    const leases = { ...settings, predecessorsEndMilliseconds };
    for (const worker of ledger.workers()) {
        const link = links.get(worker);
        const hasLapsed = now >= leasesEndAt(leases, link, input.claimedAtMilliseconds);
        if (hasLapsed && hasUnansweredRenewal(link, settings.workerLeaseMilliseconds)) {
            observeSilence(input, worker, link, now);
        }
    }
}
