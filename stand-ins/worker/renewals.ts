/**
 * Worker's side of renewals: remembers by cell what it has told under which version, and tells only what differs.
 */
import { createFailure } from "../../src/core/errors.js";
import type { Failure } from "../../src/core/errors.js";
import { keyOfAttempt, PROGRESS_STEP, USAGE_STEP_SHARE } from "../../src/platform/adapters/renewal.js";
import type { RenewNews, RenewOrder, UsageChange } from "../../src/platform/adapters/renewal.js";
import type { Attempt, AttemptStatus, AttemptUsage, WorkerReport } from "../../src/platform/worker.js";
import type { Attempts } from "./attempts.js";

/** Options of the renewals of one worker. */
export interface RenewalsOptions {
    readonly worker: string;
    readonly attempts: Attempts;
    incarnation(): string;
    readReport(now: number): WorkerReport;
}

/** Renewals of one worker. */
export interface Renewals {
    /** Tells why an order cannot be carried out: it names a version that is not the newest of its cell. */
    readonly findConflict: (order: RenewOrder) => Failure | undefined;
    readonly carryOut: (order: RenewOrder, now: number) => RenewNews;
}

/** What a worker has told the owner of one cell. */
interface Conversation {
    readonly owner: string;
    readonly epoch: number;
    readonly incarnation: string;
    readonly statuses: Map<string, AttemptStatus>;
    readonly usages: Map<string, AttemptUsage>;
    connections: string;
    renewals: readonly Attempt[];
    version: string;
}

const NO_CONNECTIONS = "[]";
/** Characters of the incarnation that begin a version. */
const VERSION_PREFIX_LENGTH = 12;

/** Creates the renewals of a worker that has told nothing. */
export function createRenewals(options: RenewalsOptions): Renewals {
    const conversations = new Map<string, Conversation>();
    let lastVersion = 0;

    const findKnown = (order: RenewOrder): Conversation | undefined => {
        const found = conversations.get(order.cell);
        const isSame = found?.version === order.known && found?.epoch === order.epoch && found.owner === order.owner
            && found.incarnation === options.incarnation();
        return isSame ? found : undefined;
    };

    const begin = ({ cell, owner, epoch }: RenewOrder): Conversation => {
        const conversation = {
            owner,
            epoch,
            incarnation: options.incarnation(),
            statuses: new Map(),
            usages: new Map(),
            connections: NO_CONNECTIONS,
            renewals: [],
            version: "",
        };
        conversations.set(cell, conversation);
        return conversation;
    };

    return {
        findConflict: order =>
            order.known === undefined || findKnown(order) !== undefined
                ? undefined
                : createFailure("conflict", "renew", `version ${order.known} is not the newest of cell ${order.cell}`),
        carryOut: (order, now) => {
            const isWhole = order.known === undefined;
            const conversation = (isWhole ? undefined : findKnown(order)) ?? begin(order);
            conversation.renewals = order.renewals ?? conversation.renewals;
            for (const attempt of conversation.renewals) {
                options.attempts.renew(attempt, order.leaseMilliseconds, now);
            }
            for (const attempt of order.acknowledged ?? []) {
                options.attempts.forget(attempt, now);
            }
            lastVersion += 1;
            conversation.version = `${conversation.incarnation.slice(0, VERSION_PREFIX_LENGTH)}.${lastVersion}`;
            return {
                version: conversation.version,
                ...(isWhole ? { worker: options.worker, incarnation: conversation.incarnation } : {}),
                ...tellStatuses(conversation, options.attempts.statuses(order.cell, now)),
                ...tellReport(conversation, order, options.readReport(now)),
            };
        },
    };
}

function tellStatuses(
    { statuses }: Conversation,
    current: readonly AttemptStatus[],
): Pick<RenewNews, "attempts" | "forgotten"> {
    const present = new Set(current.map(keyOfAttempt));
    const forgotten = [...statuses].filter(([key]) => !present.has(key)).map(([, status]) => toAttempt(status));
    forgotten.forEach(attempt => statuses.delete(keyOfAttempt(attempt)));
    const attempts = current.filter(status => isNews(status, statuses.get(keyOfAttempt(status))));
    attempts.forEach(status => statuses.set(keyOfAttempt(status), status));
    return {
        ...(attempts.length === 0 ? {} : { attempts }),
        ...(forgotten.length === 0 ? {} : { forgotten }),
    };
}

function isNews(status: AttemptStatus, told: AttemptStatus | undefined): boolean {
    return told?.state !== status.state || status.state !== "running" && told.progress !== status.progress
        || told.checkpoint !== status.checkpoint || Math.abs(told.progress - status.progress) >= PROGRESS_STEP;
}

function tellReport(
    conversation: Conversation,
    { reportAfterMilliseconds }: RenewOrder,
    report: WorkerReport,
): Pick<RenewNews, "report"> {
    const { measuredAtMilliseconds } = report;
    if (reportAfterMilliseconds === undefined || measuredAtMilliseconds <= reportAfterMilliseconds) {
        return {};
    }
    const { usages: told } = conversation;
    const present = new Set(report.usages.map(keyOfAttempt));
    const ended = [...told].filter(([key]) => !present.has(key)).map(([, usage]) => toAttempt(usage));
    ended.forEach(attempt => told.delete(keyOfAttempt(attempt)));
    const usages = report.usages.flatMap(usage => tellUsage(told, usage));
    const connections = JSON.stringify(report.connections);
    const haveChanged = connections !== conversation.connections;
    conversation.connections = connections;
    return {
        report: {
            measuredAtMilliseconds,
            ...(usages.length === 0 ? {} : { usages }),
            ...(ended.length === 0 ? {} : { ended }),
            ...(haveChanged ? { connections: report.connections } : {}),
        },
    };
}

/** Tells the fields that have moved; all of them where one has come or gone. */
function tellUsage(told: Map<string, AttemptUsage>, usage: AttemptUsage): UsageChange[] {
    const former = told.get(keyOfAttempt(usage));
    if (former === undefined || Object.keys(former).join() !== Object.keys(usage).join()) {
        told.set(keyOfAttempt(usage), usage);
        return [usage];
    }
    const before = new Map<string, unknown>(Object.entries(former));
    const moved = Object.fromEntries(
        Object.entries(usage).filter(([field, value]) => hasMoved(field, before.get(field), value)),
    );
    if (Object.keys(moved).length === 0) {
        return [];
    }
    told.set(keyOfAttempt(usage), { ...former, ...moved });
    return [{ ...toAttempt(usage), ...moved }];
}

function hasMoved(field: string, before: unknown, now: unknown): boolean {
    if (typeof before !== "number" || typeof now !== "number") {
        return before !== now;
    }
    // Full and empty shares are told exactly; progress is a share of the whole work, not of what was done before.
    if (field === "progress") {
        return Math.abs(now - before) >= PROGRESS_STEP;
    }
    return field === "throttleShare" ? before !== now : Math.abs(now - before) > Math.abs(before) * USAGE_STEP_SHARE;
}

function toAttempt({ taskId, attempt }: Attempt): Attempt {
    return { taskId, attempt };
}
