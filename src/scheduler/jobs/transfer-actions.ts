/**
 * Which tasks on offer a cell claims: those that it has room for beside the work that waits there.
 */
import { createFreeCapacities, findShortage, reserveCapacity } from "../../policy/capacity.js";
import type { FreeCapacity, TaskSize } from "../../policy/capacity.js";
import { buildConstraints, findDataCentreRefusal } from "../../policy/constraints.js";
import type { CellView, PendingTask } from "../../policy/policy.js";
import { createQuotas } from "../../policy/quotas.js";
import type { Configuration, Resources } from "../../rules/rule.js";
import type { Assignment } from "./assignment.js";
import { listRunnable } from "./spec.js";
import type { RunnableRule } from "./spec.js";
import type { StoredTransfer, Transfer } from "./transfer.js";

/** What a cell judges offers by. */
export interface TransferInput {
    readonly cell: string;
    readonly dataCentre: string;
    readonly view: CellView;
    readonly configuration: Configuration;
    readonly transfers: readonly StoredTransfer[];
    /** Time after which the giving cell takes its own offer back. */
    readonly afterMilliseconds: number;
    hasTask(transfer: Transfer): boolean;
    findAssignment(rule: string): Assignment | undefined;
}

/** A transfer to be replaced, or to be deleted where nothing is to follow. */
export interface TransferAction {
    readonly before: StoredTransfer;
    readonly after: Transfer | undefined;
}

/** Lists what the cell wants to do about transfers. */
export function listTransferActions(input: TransferInput, now: number): TransferAction[] {
    const { cell } = input;
    const runnable = new Map(listRunnable(input.configuration, now).map(entry => [entry.rule.name, entry]));
    const hasCapacity = createCapacityCheck(input);
    return input.transfers.flatMap((before): TransferAction[] => {
        const { transfer, revision } = before;
        const entry = runnable.get(transfer.rule);
        const isOwn = transfer.to === cell || (transfer.to === undefined && transfer.from === cell);
        if (revision === 0) {
            return [];
        }
        if (isOwn && !input.hasTask(transfer) && (entry === undefined || !isCurrent(input, transfer))) {
            return [{ before, after: undefined }];
        }
        if (transfer.to !== undefined || entry === undefined || !isCurrent(input, transfer)) {
            return [];
        }
        const isTakenBack = transfer.from === cell
            && now - transfer.offeredAtMilliseconds >= input.afterMilliseconds;
        return isTakenBack || (transfer.from !== cell && hasCapacity(entry))
            ? [{ before, after: { ...transfer, to: cell } }]
            : [];
    });
}

/** A transfer of an earlier generation belongs to a rule that has been removed meanwhile. */
export function isCurrent(input: Pick<TransferInput, "findAssignment">, transfer: Transfer): boolean {
    const assignment = input.findAssignment(transfer.rule);
    return assignment !== undefined && assignment.removedRevision === undefined
        && assignment.generation === transfer.generation;
}

/** Counts room by declared sizes; what waits in the cell already comes first, and each task found room for counts. */
function createCapacityCheck({ dataCentre, view }: TransferInput): (entry: RunnableRule) => boolean {
    const constraints = buildConstraints(view.placements);
    const quotas = createQuotas(view.quotas);
    const live = view.workers.filter(({ state, instance }) => state === "live" && instance.state === "live");
    const capacities = createFreeCapacities(live, ({ resources }) => declaredSize(resources));
    for (const task of view.pending) {
        if (reserve(capacities, task)) {
            quotas.deduct(task.team, task.resources);
        }
    }
    return ({ rule, team }) => {
        const limits = { rule: rule.name, dataCentres: rule.dataCentres };
        const isRefused = findDataCentreRefusal(constraints, limits, dataCentre) !== undefined
            || quotas.findRefusal(team, rule.resources) !== undefined;
        const task = { taskId: rule.name, rule: rule.name, kind: rule.kind, resources: rule.resources };
        if (isRefused || !reserve(capacities, task)) {
            return false;
        }
        quotas.deduct(team, rule.resources);
        return true;
    };
}

function reserve(
    capacities: readonly FreeCapacity[],
    task: Pick<PendingTask, "taskId" | "rule" | "kind" | "resources">,
): boolean {
    const size = declaredSize(task.resources);
    const capacity = capacities.find(candidate => findShortage(candidate, size) === undefined);
    if (capacity !== undefined) {
        reserveCapacity(
            capacity,
            { taskId: task.taskId, rule: task.rule, kind: task.kind, resources: task.resources },
            size,
        );
    }
    return capacity !== undefined;
}

function declaredSize(resources: Resources): TaskSize {
    return { ...resources, usedCores: resources.cores, usedMemoryBytes: resources.memoryBytes };
}
