/**
 * The workers of an owned cell: one link and one task for each.
 */
import { createWake } from "../../core/wake.js";
import type { Wake } from "../../core/wake.js";
import type { WorkerInstance } from "../../platform/instances.js";
import { createLink } from "./link.js";
import type { WorkerLink } from "./link.js";
import { runWorker } from "./worker.js";
import type { WorkerTaskOptions } from "./worker.js";

/** What all workers' tasks of a cell share. */
export type CrewOptions = Omit<WorkerTaskOptions, "link" | "wake">;

/** The workers of an owned cell. */
export interface Crew {
    readonly links: ReadonlyMap<string, WorkerLink>;
    /** Takes in the newest instance list; true where something has changed. */
    update(workers: readonly WorkerInstance[], now: number): boolean;
    /** Ends the task of a worker that is gone and holds nothing. */
    drop(worker: string): void;
    /** Lets a worker's task look at the ledger again. */
    wake(worker: string): void;
    /** Resolves when no task of a worker runs any more; they end when the signal is aborted. */
    settled(): Promise<void>;
}

interface CrewMember {
    readonly stop: AbortController;
    readonly wake: Wake;
    readonly task: Promise<void>;
}

/** Creates an empty crew. */
export function createCrew(options: CrewOptions, signal: AbortSignal): Crew {
    const links = new Map<string, WorkerLink>();
    const members = new Map<string, CrewMember>();

    const add = (instance: WorkerInstance, now: number): void => {
        const link = createLink(instance, now);
        const stop = new AbortController();
        const wake = createWake();
        links.set(instance.name, link);
        const task = runWorker({ ...options, link, wake }, AbortSignal.any([signal, stop.signal]));
        members.set(instance.name, { stop, wake, task });
    };

    return {
        links,
        update(workers, now) {
            const listed = new Map(workers.map(worker => [worker.name, worker]));
            let hasChanged = false;
            for (const link of links.values()) {
                const instance = listed.get(link.instance.name);
                const isListed = instance !== undefined;
                hasChanged ||= link.listed !== isListed || link.instance.state !== (instance ?? link.instance).state;
                link.listed = isListed;
                link.instance = instance ?? link.instance;
            }
            for (const instance of workers) {
                if (!links.has(instance.name) && !signal.aborted) {
                    hasChanged = true;
                    add(instance, now);
                }
            }
            return hasChanged;
        },
        drop(worker) {
            members.get(worker)?.stop.abort();
            members.delete(worker);
            links.delete(worker);
        },
        wake(worker) {
            members.get(worker)?.wake.wake();
        },
        async settled() {
            await Promise.all([...members.values()].map(({ task }) => task));
        },
    };
}
