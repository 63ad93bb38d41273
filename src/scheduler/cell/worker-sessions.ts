/**
 * The workers of an owned cell: one link and one task for each.
 */
import { createWake } from "../../core/wake.js";
import type { Wake } from "../../core/wake.js";
import type { WorkerInstance } from "../../platform/instances.js";
import { createLink } from "./link.js";
import type { WorkerLink } from "./link.js";
import { runWorkerSession } from "./worker-session.js";
import type { WorkerSessionOptions } from "./worker-session.js";

/** What all workers' tasks of a cell share. */
export type WorkerSessionsOptions = Omit<WorkerSessionOptions, "link" | "wake">;

/** The workers of an owned cell. */
export interface WorkerSessions {
    readonly links: ReadonlyMap<string, WorkerLink>;
    /** Takes in the newest instance list; true where something has changed. */
    update(workers: readonly WorkerInstance[], now: number): boolean;
    /** Ends the task of a worker that is gone and holds nothing. */
    drop(worker: string): void;
    /** Lets a worker's task look at the ledger again. */
    wake(worker: string): void;
    /** Resolves when no task of a worker runs any more; they end when the signal is aborted. */
    ended(): Promise<void>;
}

interface RunningSession {
    readonly stop: AbortController;
    readonly wake: Wake;
    readonly task: Promise<void>;
}

/** Creates an empty crew. */
export function createWorkerSessions(options: WorkerSessionsOptions, signal: AbortSignal): WorkerSessions {
    const links = new Map<string, WorkerLink>();
    const sessions = new Map<string, RunningSession>();

    const add = (instance: WorkerInstance, now: number): void => {
        const link = createLink(instance, now);
        const stop = new AbortController();
        const wake = createWake();
        links.set(instance.name, link);
        const task = runWorkerSession({ ...options, link, wake }, AbortSignal.any([signal, stop.signal]));
        sessions.set(instance.name, { stop, wake, task });
    };

    return {
        links,
        update(workers, now) {
            const listed = new Map(workers.map(worker => [worker.name, worker]));
            let hasChanged = false;
            for (const link of links.values()) {
                const instance = listed.get(link.instance.name);
                const isListed = instance !== undefined;
                hasChanged ||= link.isListed !== isListed || link.instance.state !== (instance ?? link.instance).state;
                link.isListed = isListed;
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
            sessions.get(worker)?.stop.abort();
            sessions.delete(worker);
            links.delete(worker);
        },
        wake(worker) {
            sessions.get(worker)?.wake.wake();
        },
        async ended() {
            await Promise.all([...sessions.values()].map(({ task }) => task));
        },
    };
}
