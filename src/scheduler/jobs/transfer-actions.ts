/**
 * Decides which offered tasks a cell claims: those that fit into its free capacity beside its own waiting tasks.
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

/** Input of the decisions about transfers. */
export interface TransferInput {
    readonly cell: string;
    readonly dataCentre: string;
    readonly view: CellView;
    readonly configuration: Configuration;
    readonly transfers: readonly StoredTransfer[];
    /** Milliseconds after which the offering cell withdraws its own offer. */
    readonly afterMilliseconds: number;
    hasTask(transfer: Transfer): boolean;
    findAssignment(rule: string): Assignment | undefined;
}

/** Replaces a transfer, or deletes it where `after` is `undefined`. */
export interface TransferAction {
    readonly before: StoredTransfer;
    readonly after: Transfer | undefined;
}

/** Lists the transfers that the cell should claim, withdraw or delete. */
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

/** False for a transfer of an earlier generation: its rule has been removed since. */
export function isCurrent(input: Pick<TransferInput, "findAssignment">, transfer: Transfer): boolean {
    const assignment = input.findAssignment(transfer.rule);
    return assignment !== undefined && assignment.removedRevision === undefined
        && assignment.generation === transfer.generation;
}

/** Checks capacity by declared sizes, after reserving it for the cell's own waiting tasks and each accepted offer. */
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
