/**
 * Order of pending tasks: by priority, then services before batch, then the team with the smallest share, then age.
 */
import type { CellView, PendingTask } from "./policy.js";

/** Dominant shares of the teams: for each team, the largest of its shares of cores, memory and accelerators. */
export interface TeamShares {
    dominantShare(team: string): number;
    add(team: string, resources: PendingTask["resources"]): void;
}

/** Computes the dominant shares from the tasks placed in the cell. */
export function createTeamShares(view: CellView): TeamShares {
    const total = { cores: 0, memoryBytes: 0, accelerators: 0 };
    for (const { instance } of view.workers) {
        total.cores += instance.shape.cores;
        total.memoryBytes += instance.shape.memoryBytes;
        total.accelerators += instance.shape.accelerators;
    }
    const amountsByTeam = new Map<string, { cores: number; memoryBytes: number; accelerators: number; }>();
    const shares: TeamShares = {
        dominantShare(team) {
            const amounts = amountsByTeam.get(team);
            return amounts === undefined ? 0 : Math.max(
                share(amounts.cores, total.cores),
                share(amounts.memoryBytes, total.memoryBytes),
                share(amounts.accelerators, total.accelerators),
            );
        },
        add(team, resources) {
            const amounts = amountsByTeam.get(team) ?? { cores: 0, memoryBytes: 0, accelerators: 0 };
            amounts.cores += resources.cores;
            amounts.memoryBytes += resources.memoryBytes;
            amounts.accelerators += resources.accelerators;
            amountsByTeam.set(team, amounts);
        },
    };
    for (const worker of view.workers) {
        for (const task of worker.tasks) {
            shares.add(task.team, task.resources);
        }
    }
    return shares;
}

function share(amountsByTeam: number, total: number): number {
    return total === 0 ? 0 : amountsByTeam / total;
}

/** Yields the tasks in order; the shares are read for each task, so that placements in between count. */
export function* orderPending(pending: readonly PendingTask[], shares: TeamShares): Generator<PendingTask> {
    for (const group of groupByUrgency(pending)) {
        yield* orderGroup(group, shares);
    }
}

function groupByUrgency(pending: readonly PendingTask[]): PendingTask[][] {
    const groups = new Map<number, PendingTask[]>();
    for (const task of pending) {
        const key = task.priority * 2 + (task.kind === "service" ? 0 : 1);
        const group = groups.get(key) ?? [];
        group.push(task);
        groups.set(key, group);
    }
    return [...groups.entries()].sort(([left], [right]) => left - right).map(([, group]) => group);
}

interface TeamQueue {
    readonly team: string;
    readonly tasks: readonly PendingTask[];
    next: number;
}

function* orderGroup(group: readonly PendingTask[], shares: TeamShares): Generator<PendingTask> {
    let queues = createTeamQueues(group);
    while (queues.length > 0) {
        const queue = pickQueue(queues, shares);
        const task = queue.tasks[queue.next];
        queue.next += 1;
        if (queue.next >= queue.tasks.length) {
            queues = queues.filter(other => other !== queue);
        }
        if (task !== undefined) {
            yield task;
        }
    }
}

function createTeamQueues(group: readonly PendingTask[]): TeamQueue[] {
    const byTeam = new Map<string, PendingTask[]>();
    for (const task of group) {
        const tasks = byTeam.get(task.team) ?? [];
        tasks.push(task);
        byTeam.set(task.team, tasks);
    }
    return [...byTeam.entries()].map(([team, tasks]) => ({ team, tasks: tasks.sort(compareAge), next: 0 }));
}

function compareAge(left: PendingTask, right: PendingTask): number {
    return left.submittedAtMilliseconds - right.submittedAtMilliseconds || (left.taskId < right.taskId ? -1 : 1);
}

function pickQueue(queues: readonly TeamQueue[], shares: TeamShares): TeamQueue {
    return queues.reduce((best, queue) =>
        shares.dominantShare(queue.team) < shares.dominantShare(best.team) ? queue : best
    );
}
