/**
 * Methods that a scheduler serves to gateways and operators.
 */
import type Emittery from "emittery";
import { Result } from "true-myth/result";
import { fail } from "../core/errors.js";
import { cancelTask, drainWorker, explainTask, listTasks, listWorkers } from "../core/messages/operator.js";
import { readRoutes } from "../core/messages/routes.js";
import type { KnownCell } from "../core/messages/routes.js";
import { implement } from "../core/method.js";
import type { MethodHandler } from "../core/method.js";
import { pause } from "../core/time.js";
import type { Clock } from "../core/time.js";
import type { Cell } from "./cell/cell.js";
import { cancel } from "./commands/cancel.js";
import { drain } from "./commands/drain.js";
import { summariseTask, summariseWorkers } from "./queries/summaries.js";

/** Events of a scheduler. */
export interface SchedulerEvents {
    /** Routes or the set of owned cells have changed. */
    routes: undefined;
}

/** What the methods need. */
export interface HandlerOptions {
    readonly events: Emittery<SchedulerEvents>;
    readonly clock: Clock;
    cells(): readonly Cell[];
}

/** Creates the methods. */
export function createHandlers(options: HandlerOptions): MethodHandler[] {
    const findTask = (taskId: string) =>
        options.cells().flatMap(cell => {
            const task = cell.ledger.draft.get(taskId);
            return task === undefined ? [] : [{ cell, task }];
        })[0];
    return [
        implement(readRoutes, async ({ known, waitMilliseconds }) => {
            const deadline = options.clock() + waitMilliseconds;
            const initiallyOwned = nameCells(options.cells());
            const hasChanges = () =>
                readChanged(options.cells(), known).cells.length > 0 || nameCells(options.cells()) !== initiallyOwned;
            while (!hasChanges() && options.clock() < deadline) {
                await waitForRoutes(options.events, deadline - options.clock());
            }
            return Result.ok(readChanged(options.cells(), known));
        }),
        implement(listTasks, async ({ rule, team, states }) => {
            const tasks = options.cells().flatMap(cell =>
                [...cell.ledger.draft.values()].map(task => summariseTask(cell, task))
            );
            return Result.ok({
                cells: options.cells().map(({ name }) => name),
                tasks: tasks.filter(task =>
                    (rule === undefined || task.rule === rule)
                    && (team === undefined || task.team === team)
                    && (states === undefined || states.includes(task.state))
                ),
            });
        }),
        implement(cancelTask, async ({ taskId, by }) => {
            const found = findTask(taskId);
            if (found === undefined) {
                return Result.ok({ known: false });
            }
            const committed = await found.cell.command((ledger, now) => cancel(ledger, taskId, by, now));
            if (!committed) {
                return fail(
                    "fenced",
                    "cancel task",
                    `cell ${found.cell.name} has moved to another scheduler; ask again`,
                );
            }
            return Result.ok({ known: true, state: found.cell.ledger.draft.get(taskId)?.state ?? "cancelled" });
        }),
        implement(explainTask, async ({ taskId }) => {
            const found = findTask(taskId);
            if (found === undefined) {
                return Result.ok({ refusals: [], events: [] });
            }
            const { cell, task } = found;
            const now = options.clock();
            return Result.ok({
                task: summariseTask(cell, task),
                refusals: [...cell.policy.explain(cell.view(now), taskId, now)],
                events: [
                    { atMilliseconds: task.submittedAtMilliseconds, event: "submitted" },
                    { atMilliseconds: task.sinceMilliseconds, event: `${task.state}: ${task.reason || "as asked"}` },
                ],
            });
        }),
        implement(
            listWorkers,
            async () =>
                Result.ok({ workers: options.cells().flatMap(cell => summariseWorkers(cell, options.clock())) }),
        ),
        implement(drainWorker, async order => {
            const cell = options.cells().find(({ links }) => links.has(order.worker));
            if (cell === undefined) {
                return Result.ok({ known: false });
            }
            const committed = await cell.command(ledger => drain(ledger, order));
            return committed
                ? Result.ok({ known: true })
                : fail("fenced", "drain worker", `cell ${cell.name} has moved to another scheduler; ask again`);
        }),
    ];
}

async function waitForRoutes(events: Emittery<SchedulerEvents>, milliseconds: number): Promise<void> {
    const controller = new AbortController();
    const stop = events.on("routes", () => controller.abort());
    await pause(milliseconds, controller.signal);
    stop();
}

function nameCells(cells: readonly Cell[]): string {
    return cells.map(({ name }) => name).sort().join(",");
}

function readChanged(cells: readonly Cell[], known: readonly KnownCell[]) {
    const byCell = new Map(known.map(entry => [entry.cell, entry]));
    return {
        owned: cells.map(({ name }) => name),
        cells: cells.map(({ routes }) => routes.current()).filter(({ cell, epoch, version }) => {
            const entry = byCell.get(cell);
            return entry?.epoch !== epoch || entry.version !== version;
        }),
    };
}
