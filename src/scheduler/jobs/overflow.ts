/**
 * Overflow of a cell: tasks that it cannot place are given up to other cells, and tasks of other cells are taken in.
 *
 * Only batch tasks that have never been given a worker move. The giving cell drops the task and writes its transfer in
 * one commit; a cell with room claims the transfer by compare-and-swap and admits the task in its own ledger.
 */
import type { WriteOperation } from "../../platform/store.js";
import { fitsShape } from "../../policy/capacity.js";
import { buildConstraints } from "../../policy/constraints.js";
import type { Configuration } from "../../rules/rule.js";
import type { CellMap } from "../cells.js";
import type { Ledger } from "../ledger/ledger.js";
import { ENDED_STATES } from "../ledger/task.js";
import type { Task } from "../ledger/task.js";
import type { Assignment } from "./assignment.js";
import { allowedCells } from "./home.js";
import { admitTask } from "./plan.js";
import { listPlacements, listRunnable, toSpec } from "./spec.js";
import type { RunnableRule } from "./spec.js";
import { isCurrent, listTransferActions } from "./transfer-actions.js";
import type { TransferAction, TransferInput } from "./transfer-actions.js";
import { deleteTransfer, putTransfer } from "./transfer.js";
import type { StoredTransfer, Transfer, Transfers } from "./transfer.js";

/** Transfers that one cell may have on offer at a time; they share a transaction of limited size. */
const OFFERS_AT_MOST = 32;
const DELETIONS_PER_COMMIT = 32;

/** What the overflow of a cell needs. */
export interface OverflowOptions {
    readonly cell: string;
    readonly ledger: Ledger;
    readonly transfers: Transfers;
    /** Time after which a task that never got a place is given up. */
    readonly afterMilliseconds: number;
    cells(): readonly CellMap[];
    findAssignment(rule: string): Assignment | undefined;
}

/** Overflow of one cell, as its owner sees it. */
export interface Overflow {
    /** The copy of the transfers is newer than the ownership of the cell. */
    isLoaded(): boolean;
    /** Rises with each change of the transfers. */
    version(): number;
    /** What the cell wants to do about transfers. */
    listActions(input: Pick<TransferInput, "dataCentre" | "view" | "configuration">, now: number): TransferAction[];
    /** Drops the tasks that the cell gives up, and admits the ones that it has claimed. */
    plan(configuration: Configuration, now: number): void;
    /** The task's transfer exists, or may exist: the ledger must not forget the task. */
    readonly hasTransfer: (taskId: string) => boolean;
    /** Another cell still has a task of this name from an earlier generation of its rule. */
    readonly isInOtherCell: (taskId: string, generation: number) => boolean;
    /** Writes that have to take effect together with the next commit. */
    writes(): WriteOperation[];
    /** The commit with these writes has taken effect. */
    markCommitted(): void;
}

/** Creates the overflow of a cell that has just been claimed. */
export function createOverflow(options: OverflowOptions): Overflow {
    const { cell, ledger, transfers } = options;
    const startedReadsAtClaim = transfers.startedReads();
    const offers = new Map<string, Transfer>();
    // What was read before the cell was claimed may be older than the last commit of the former owner.
    const hasReadSinceClaim = () => transfers.appliedRead() > startedReadsAtClaim;
    let deleting: readonly string[] = [];

    const listEndedTransfers = (): string[] =>
        transfers.list()
            .filter(({ transfer }) => transfer.to === cell && hasEnded(findTransferred(ledger, transfer)))
            .map(({ transfer }) => transfer.taskId)
            .slice(0, DELETIONS_PER_COMMIT);

    const offer = (task: Task, rule: string, now: number): void => {
        const known = transfers.find(task.taskId)?.transfer;
        const transferred = known !== undefined && matchesTransfer(task, known) ? known : undefined;
        const generation = transferred?.generation ?? ledger.admissions.get(rule)?.generation;
        if (generation === undefined) {
            return;
        }
        offers.set(task.taskId, {
            taskId: task.taskId,
            rule,
            generation,
            from: cell,
            offeredAtMilliseconds: now,
            submittedAtMilliseconds: task.submittedAtMilliseconds,
            attempt: task.attempt,
        });
        ledger.remove(task.taskId);
    };

    const admitClaimed = (runnable: ReadonlyMap<string, RunnableRule>, now: number): void => {
        for (const { transfer } of transfers.list()) {
            const entry = runnable.get(transfer.rule);
            const existing = ledger.draft.get(transfer.taskId);
            const isNameFree = existing === undefined || (hasEnded(existing) && !matchesTransfer(existing, transfer));
            const isClaimedHere = transfer.to === cell && isNameFree && !offers.has(transfer.taskId);
            if (isClaimedHere && entry !== undefined && isCurrent(options, transfer)) {
                admitTask(ledger, toSpec(entry), {
                    taskId: transfer.taskId,
                    now,
                    submittedAtMilliseconds: transfer.submittedAtMilliseconds,
                    attempt: transfer.attempt,
                });
            }
        }
    };

    const offerWaiting = (
        runnable: ReadonlyMap<string, RunnableRule>,
        configuration: Configuration,
        now: number,
    ): void => {
        const isOnOffer = ({ transfer }: StoredTransfer) => transfer.from === cell && transfer.to === undefined;
        let remaining = OFFERS_AT_MOST - transfers.list().filter(isOnOffer).length - offers.size;
        const hasOtherCell = createOtherCellCheck(options, configuration, now);
        for (const task of [...ledger.draft.values()]) {
            if (remaining <= 0) {
                return;
            }
            const isDue = isMovable(ledger, task) && now - task.sinceMilliseconds >= options.afterMilliseconds;
            const entry = isDue ? runnable.get(ledger.specOf(task).rule) : undefined;
            if (entry !== undefined && hasOtherCell(entry)) {
                offer(task, entry.rule.name, now);
                remaining -= 1;
            }
        }
    };

    return {
        isLoaded: hasReadSinceClaim,
        version: () => transfers.version(),
        listActions: (input, now) =>
            hasReadSinceClaim()
                ? listTransferActions({
                    ...options,
                    ...input,
                    transfers: transfers.list(),
                    hasTask: transfer => findTransferred(ledger, transfer) !== undefined || offers.has(transfer.taskId),
                }, now)
                : [],
        plan(configuration, now) {
            if (hasReadSinceClaim()) {
                const runnable = new Map(listRunnable(configuration, now).map(entry => [entry.rule.name, entry]));
                admitClaimed(runnable, now);
                offerWaiting(runnable, configuration, now);
            }
        },
        hasTransfer: taskId => !hasReadSinceClaim() || transfers.find(taskId)?.transfer.to === cell,
        isInOtherCell(taskId, generation) {
            const transfer = transfers.find(taskId)?.transfer;
            return !hasReadSinceClaim() || (transfer !== undefined && transfer.generation !== generation);
        },
        writes() {
            deleting = listEndedTransfers();
            return [...[...offers.values()].map(putTransfer), ...deleting.map(deleteTransfer)];
        },
        markCommitted() {
            offers.forEach((transfer, taskId) => transfers.applyCommitted(taskId, transfer));
            offers.clear();
            deleting.forEach(taskId => transfers.applyCommitted(taskId, undefined));
            deleting = [];
        },
    };
}

/** The ledger may still show an ended task of the same name from an earlier generation of its rule. */
function matchesTransfer(task: Task, transfer: Transfer): boolean {
    return task.submittedAtMilliseconds === transfer.submittedAtMilliseconds;
}

function findTransferred(ledger: Ledger, transfer: Transfer): Task | undefined {
    const task = ledger.draft.get(transfer.taskId);
    return task !== undefined && matchesTransfer(task, transfer) ? task : undefined;
}

function hasEnded(task: Task | undefined): boolean {
    return task !== undefined && ENDED_STATES.has(task.state);
}

/** A task that was ever given a worker never moves by this path: its attempt may have run. */
function isMovable(ledger: Ledger, task: Task): boolean {
    const isWaiting = task.state === "pending" || task.state === "parked";
    const hasStarted = task.attempt !== (task.attemptsBefore ?? 0);
    return isWaiting && !hasStarted && task.checkpoint === undefined && ledger.specOf(task).kind === "batch";
}

/** Tells whether another cell that the rule allows has a worker that could hold its tasks. */
function createOtherCellCheck(
    options: OverflowOptions,
    configuration: Configuration,
    now: number,
): (runnable: RunnableRule) => boolean {
    const constraints = buildConstraints(listPlacements(configuration, now));
    const others = options.cells().filter(({ cell }) => cell !== options.cell);
    const resultByRule = new Map<string, boolean>();
    return ({ rule }) => {
        const known = resultByRule.get(rule.name)
            ?? allowedCells(others, { rule: rule.name, dataCentres: rule.dataCentres }, constraints)
                .some(({ workers }) =>
                    workers.some(({ state, shape }) => state === "live" && fitsShape(shape, rule.resources))
                );
        resultByRule.set(rule.name, known);
        return known;
    };
}
