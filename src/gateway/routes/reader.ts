/**
 * Reads routes from schedulers: one task per scheduler, each in a long poll.
 *
 * A scheduler that stops answering leaves the routes of its cells in force; its successor's carry a higher epoch.
 */
import { formatFailure } from "../../core/errors.js";
import type { Logger } from "../../core/log.js";
import { readRoutes } from "../../core/messages/routes.js";
import { jitter } from "../../core/random.js";
import type { Random } from "../../core/random.js";
import type { RpcClient } from "../../core/rpc.js";
import { pause } from "../../core/time.js";
import { getMemberName } from "../../membership/member.js";
import type { MembershipSource } from "../../membership/member.js";
import type { CellOwners } from "../credits/owners.js";
import type { RouteTable } from "./table.js";

const RETRY_MILLISECONDS = 500;
const RETRY_SPREAD = 0.5;
/** Time beyond the long poll's wait after which a scheduler counts as silent. */
const ANSWER_MARGIN_MILLISECONDS = 2_000;

/** Options of the reader. */
export interface RouteReaderOptions {
    readonly table: RouteTable;
    readonly membership: MembershipSource;
    readonly rpc: RpcClient;
    readonly random: Random;
    readonly logger: Logger;
    readonly waitMilliseconds: number;
    /** Called after the table has changed. */
    onChange(): void;
    readonly owners: CellOwners;
}

/** Reads routes from every scheduler that membership knows, until the signal is aborted. */
export async function runRouteReader(options: RouteReaderOptions, signal: AbortSignal): Promise<void> {
    const tasks = new Map<string, { controller: AbortController; task: Promise<void>; }>();
    const updateTasks = () => {
        const origins = new Map<string, string>();
        for (const member of options.membership.members()) {
            if (member.role === "scheduler" && member.state !== "dead") {
                origins.set(member.origin, getMemberName(member));
            }
        }
        for (const [origin, { controller }] of tasks) {
            if (!origins.has(origin)) {
                controller.abort();
                tasks.delete(origin);
            }
        }
        for (const origin of origins.keys()) {
            if (!tasks.has(origin) && !signal.aborted) {
                const controller = new AbortController();
                const endSignal = AbortSignal.any([signal, controller.signal]);
                tasks.set(origin, { controller, task: readFromScheduler(origin, options, endSignal) });
            }
        }
    };
    const unsubscribe = options.membership.onChange(updateTasks);
    updateTasks();
    await new Promise<void>(resolve => {
        if (signal.aborted) {
            resolve();
        }
        signal.addEventListener("abort", () => resolve(), { once: true });
    });
    unsubscribe();
    await Promise.all([...tasks.values()].map(({ task }) => task));
}

/** Polls one scheduler until the signal is aborted. */
async function readFromScheduler(origin: string, options: RouteReaderOptions, signal: AbortSignal): Promise<void> {
    const { table, rpc, waitMilliseconds } = options;
    while (!signal.aborted) {
        const answer = await rpc.call(origin, readRoutes, { known: table.currentVersions(), waitMilliseconds }, {
            timeoutMilliseconds: waitMilliseconds + ANSWER_MARGIN_MILLISECONDS,
            signal,
        });
        if (answer.isErr) {
            options.logger.debug("routes-not-read", { failure: formatFailure(answer.error) });
            await pause(jitter(RETRY_MILLISECONDS, RETRY_SPREAD, options.random), signal);
            continue;
        }
        for (const { cell, epoch } of answer.value.cells) {
            options.owners.observeRoutes(cell, epoch, origin);
        }
        options.owners.observeOwned(origin, answer.value.owned);
        const changed = answer.value.cells.map(cell => table.update(cell)).includes(true);
        table.recordRead();
        if (changed) {
            options.onChange();
        }
        else if (answer.value.cells.length > 0) {
            // An owner that was superseded keeps offering its old version; asking again at once would spin.
            await pause(jitter(RETRY_MILLISECONDS, RETRY_SPREAD, options.random), signal);
        }
    }
}
