/**
 * Which workers of a cell get starts at present, and what keeps the others from them.
 */
import type { Candidate } from "../policy/candidate.js";
import type { WorkerObstacle } from "../policy/waiting-reasons.js";
import type { CellContext } from "./context.js";
import type { CellWorker } from "./worker.js";

/** Lists the workers on which tasks may be started now, by pool. They keep their expected pressures from the former pass. */
export function listPools(
    cell: CellContext,
    former: ReadonlyMap<string, readonly Candidate[]>,
    now: number,
): Map<string, Candidate[]> {
    const { jobTable, workers } = cell;
    const plans = new Map([...former.values()].flat().map(({ plan, worker }) => [worker.id, plan]));
    const pools = new Map<string, Candidate[]>();
    for (const worker of workers.values()) {
        if (findWorkerObstacle(cell, worker, now) !== undefined) {
            continue;
        }
        const { lastAnswerAtMilliseconds: reportedAtMilliseconds, listed } = worker;
        const candidates = pools.get(listed.pool) ?? [];
        const load = jobTable.occupancy.load(listed.id);
        candidates.push({ worker: listed, load, reportedAtMilliseconds, plan: plans.get(listed.id) });
        pools.set(listed.pool, candidates);
    }
    return pools;
}

/** Finds what keeps a worker from starts of any task; absent if nothing does. */
export function findWorkerObstacle(
    { closures, settings }: Pick<CellContext, "closures" | "settings">,
    worker: CellWorker,
    now: number,
): WorkerObstacle | undefined {
    const { contact, failingSinceMilliseconds, health, isRecorded, listed, unlistedSinceMilliseconds } = worker;
    if (closures.isClosed(listed.dataCentre)) {
        return "data-centre-closed";
    }
    if (contact !== "answering") {
        return contact === "silent" ? "worker-silent" : "worker-unheard";
    }
    // An order is not sent while it is in doubt which life of the worker it would reach.
    if (failingSinceMilliseconds !== undefined) {
        return "reports-failing";
    }
    if (!isRecorded) {
        return "worker-unrecorded";
    }
    if (
        unlistedSinceMilliseconds !== undefined && now - unlistedSinceMilliseconds >= settings.unlistedGraceMilliseconds
    ) {
        return "worker-unlisted";
    }
    if (listed.isDraining) {
        return "worker-draining";
    }
    if (worker.isLeaseWithheld) {
        return "lease-withheld";
    }
    if (now < worker.startsFromMilliseconds) {
        return "starts-refused";
    }
    return now < health.quarantinedUntilMilliseconds ? "worker-quarantined" : undefined;
}
