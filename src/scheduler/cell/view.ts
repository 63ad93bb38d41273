/**
 * What the policy is shown of a cell.
 */
import type { CellView, PendingTask, PlacedTask, QuotaSlice, WorkerView } from "../../policy/policy.js";
import type { PlacementRule } from "../../rules/rule.js";
import type { Ledger } from "../ledger/ledger.js";
import { HOLDING_STATES, WAITING_STATES } from "../ledger/task.js";
import type { Task } from "../ledger/task.js";
import type { WorkerLink } from "./link.js";

/** What a view is built from. */
export interface ViewInput {
    readonly cell: string;
    readonly ledger: Ledger;
    readonly links: ReadonlyMap<string, WorkerLink>;
    readonly placements: readonly PlacementRule[];
    readonly quotas: readonly QuotaSlice[];
    /** Silence after which a worker gets no new tasks. */
    readonly silentAfterMilliseconds: number;
}

/** Builds the view of a cell, including decisions that are not committed yet. */
export function buildView(input: ViewInput, now: number): CellView {
    const placed = new Map<string, PlacedTask[]>();
    const pending: PendingTask[] = [];
    for (const task of input.ledger.draft.values()) {
        if (WAITING_STATES.has(task.state)) {
            pending.push(toPending(input.ledger, task));
        }
        else if (task.worker !== undefined && HOLDING_STATES.has(task.state)) {
            const group = placed.get(task.worker) ?? [];
            group.push(toPlaced(input, task));
            placed.set(task.worker, group);
        }
    }
    return {
        cell: input.cell,
        workers: [...input.links.values()].map(link => ({
            instance: link.instance,
            state: stateOf(input, link, now),
            tasks: placed.get(link.instance.name) ?? [],
        })),
        pending,
        quotas: input.quotas,
        placements: input.placements,
    };
}

/** Tells the state of a worker; only `live` ones get new tasks. */
export function stateOf(
    input: Pick<ViewInput, "ledger" | "silentAfterMilliseconds">,
    link: WorkerLink,
    now: number,
): WorkerView["state"] {
    if (link.incarnation === undefined || now - link.answeredAtMilliseconds > input.silentAfterMilliseconds) {
        return "silent";
    }
    if (!link.isListed || link.instance.state === "leaving") {
        return "leaving";
    }
    return input.ledger.drains.has(link.instance.name) ? "draining" : "live";
}

function toPending(ledger: Ledger, task: Task): PendingTask {
    const spec = ledger.specOf(task);
    return {
        taskId: task.taskId,
        rule: spec.rule,
        team: spec.team,
        kind: spec.kind,
        resources: spec.resources,
        priority: spec.priority,
        dataCentres: spec.dataCentres,
        submittedAtMilliseconds: task.submittedAtMilliseconds,
        notBeforeMilliseconds: task.notBeforeMilliseconds,
        failures: task.failures,
        retries: spec.retries,
        evictions: task.evictions,
    };
}

function toPlaced({ ledger, links }: ViewInput, task: Task): PlacedTask {
    const spec = ledger.specOf(task);
    const link = task.worker === undefined ? undefined : links.get(task.worker);
    return {
        taskId: task.taskId,
        attempt: task.attempt,
        rule: spec.rule,
        team: spec.team,
        kind: spec.kind,
        resources: spec.resources,
        priority: spec.priority,
        state: task.state === "starting" || task.state === "running" ? task.state : "moving",
        startedAtMilliseconds: task.sinceMilliseconds,
        progress: Math.max(task.checkpointProgress, link?.progress.get(task.taskId) ?? 0),
        checkpointProgress: task.checkpointProgress,
        evictions: task.evictions,
        throttleShare: task.throttleShare,
    };
}
