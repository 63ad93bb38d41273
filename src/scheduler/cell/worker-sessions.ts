/**
 * Sessions of an owned cell with its workers.
 */
import { createWake } from "../../core/wake.js";
import type { Wake } from "../../core/wake.js";
import type { WorkerInstance } from "../../platform/instances.js";
import { createLink } from "./link.js";
import type { WorkerLink } from "./link.js";
import { runWorkerSession } from "./worker-session.js";
import type { WorkerSessionOptions } from "./worker-session.js";

/** Options that all sessions of a cell share. */
export type WorkerSessionsOptions = Omit<WorkerSessionOptions, "link" | "wake">;

/** Sessions of an owned cell with its workers. */
export interface WorkerSessions {
    readonly links: ReadonlyMap<string, WorkerLink>;
    /** Applies a new instance list; true if a worker was added or removed or has another state. */
    update(workers: readonly WorkerInstance[], now: number): boolean;
    /** Ends the session with an unlisted worker that holds no tasks. */
    drop(worker: string): void;
    /** Makes a worker's session check the ledger now. */
    wake(worker: string): void;
    /** Resolves when all sessions have ended, after the signal was aborted. */
    ended(): Promise<void>;
}

interface RunningSession {
    readonly stop: AbortController;
    readonly wake: Wake;
    readonly task: Promise<void>;
}

/** Creates an empty set of sessions. */
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
