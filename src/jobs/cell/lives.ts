/**
 * Records the lives of workers for later owners, which cannot tell what orders to a former life have brought about.
 */
import { recordLife } from "../job-table/job-table.js";
import type { CellContext } from "./context.js";
import type { CellWorker } from "./worker.js";

/** Records the life that has just reported for the first time, with the lease that it may hold by orders to the life before it. */
export function recordPresentLife(
    { commits, jobTable }: Pick<CellContext, "commits" | "jobTable">,
    worker: CellWorker,
    hasRestarted: boolean,
): void {
    const { incarnation, leaseUntilMilliseconds, listed } = worker;
    if (incarnation === undefined) {
        return;
    }
    const known = jobTable.lives.get(listed.id);
    const isOther = known !== undefined && known.incarnation !== incarnation;
    const life = {
        incarnation,
        leaseUntilMilliseconds: hasRestarted || isOther ? leaseUntilMilliseconds : known?.leaseUntilMilliseconds ?? 0,
    };
    if (recordLife(jobTable, listed.id, life)) {
        // A successor that does not know of a long lease starts the worker's tasks elsewhere too early.
        commits.requestCommit(life.leaseUntilMilliseconds > 0);
    }
}
