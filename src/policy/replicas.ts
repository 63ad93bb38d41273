/**
 * Spread of a service's replicas over workers, racks and data centres.
 */
import type { CellView, WorkerView } from "./policy.js";

/** Replicas of one rule by data centre, rack and worker. */
interface ReplicaCounts {
    readonly byDataCentre: Map<string, number>;
    readonly byRack: Map<string, number>;
    readonly byWorker: Map<string, number>;
}

/** Counts replicas and scores workers by the replicas of the same rule near them. */
export interface ReplicaSpread {
    /**
     * Returns a score of 0 or more; replicas on the worker weigh most, then those in its data centre, then its rack.
     */
    crowding(rule: string, worker: WorkerView): number;
    add(rule: string, worker: WorkerView): void;
}

const WORKER_WEIGHT = 1_000_000;
const DATA_CENTRE_WEIGHT = 1_000;

/** Counts the replicas of all services in a cell, without those that are `moving`. */
export function createReplicaSpread(view: CellView): ReplicaSpread {
    const counts = new Map<string, ReplicaCounts>();
    const spread: ReplicaSpread = {
        crowding(rule, worker) {
            const count = counts.get(rule);
            if (count === undefined) {
                return 0;
            }
            return WORKER_WEIGHT * (count.byWorker.get(worker.instance.name) ?? 0)
                + DATA_CENTRE_WEIGHT * (count.byDataCentre.get(worker.instance.dataCentre) ?? 0)
                + (count.byRack.get(createRackKey(worker)) ?? 0);
        },
        add(rule, worker) {
            const count = counts.get(rule) ?? { byDataCentre: new Map(), byRack: new Map(), byWorker: new Map() };
            increment(count.byDataCentre, worker.instance.dataCentre);
            increment(count.byRack, createRackKey(worker));
            increment(count.byWorker, worker.instance.name);
            counts.set(rule, count);
        },
    };
    for (const worker of view.workers) {
        for (const task of worker.tasks) {
            if (task.kind === "service" && task.state !== "moving") {
                spread.add(task.rule, worker);
            }
        }
    }
    return spread;
}

function createRackKey(worker: WorkerView): string {
    return `${worker.instance.dataCentre}/${worker.instance.rack}`;
}

function increment(counts: Map<string, number>, key: string): void {
    counts.set(key, (counts.get(key) ?? 0) + 1);
}
