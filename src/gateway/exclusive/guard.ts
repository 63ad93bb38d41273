/**
 * Guard of exclusive requests: a request is sent only by the holder of its partition, one attempt of a key at a time.
 */
import type { Clock } from "../../core/time.js";
import { pause } from "../../core/time.js";
import type { Admission, GuardedRequest, Permit, PermitOutcome } from "../guard.js";
import type { Holder } from "./holder.js";
import type { Locks, Release } from "./locks.js";
import { findPartition } from "./partition.js";
import type { PartitionRecord } from "./partition.js";
import type { ExclusiveSettings } from "./settings.js";
import type { PartitionTable } from "./table.js";

const STATUS_UNAVAILABLE = 503;
const STATUS_CONFLICT = 409;
const RECENT_FORWARDS_LIMIT = 1_000;

/** Options of the decisions on one request. */
export interface ExclusiveAdmissionOptions {
    readonly settings: ExclusiveSettings;
    readonly table: PartitionTable;
    readonly holder: Holder;
    readonly locks: Locks;
    /** Whether the process has looked at the table recently enough to know what it holds. */
    isRecentlyChecked(now: number): boolean;
    isReleasing(partition: number): boolean;
    /** Origin of the live gateway that should claim a partition that nobody holds; `undefined` for this process. */
    findClaimantOrigin(partition: number): string | undefined;
    /** Longest attempt that the rules in force allow. */
    longestAttemptMilliseconds(now: number): number;
    readonly clock: Clock;
}

/** Creates the function that decides on requests. */
export function createExclusiveAdmission(
    options: ExclusiveAdmissionOptions,
): (request: GuardedRequest, now: number) => Promise<Admission> {
    const recentForwards = createRecentSet(RECENT_FORWARDS_LIMIT);
    return async (request, now) => {
        const { exclusiveKey } = request;
        if (exclusiveKey === undefined) {
            return { kind: "proceed", permit: { maySend: () => true, finish: async () => undefined } };
        }
        const partition = findPartition(request.service, exclusiveKey, options.settings.partitions);
        const held = options.holder.find(partition);
        if (held !== undefined) {
            return admitHeld(request, partition, held, options);
        }
        // A request that comes a second time, or from a peer, shows that one of the two tables is out of date.
        if (request.forwarded || recentForwards.has(request.requestId)) {
            await options.table.refreshOne(partition);
        }
        recentForwards.add(request.requestId);
        return admitNotHeld(request, partition, options, now);
    };
}

async function admitNotHeld(
    request: GuardedRequest,
    partition: number,
    options: ExclusiveAdmissionOptions,
    now: number,
): Promise<Admission> {
    if (!options.table.loaded()) {
        return refuse("exclusive-table-unknown", "the holders of exclusive requests are not known yet");
    }
    const record = options.table.get(partition)?.body;
    const isHeldByOther = record !== undefined && !record.released && now <= record.horizonMilliseconds;
    const forwardOrigin = isHeldByOther ? record.origin : options.findClaimantOrigin(partition);
    if (forwardOrigin !== undefined && !request.forwarded) {
        return { kind: "forward", origin: forwardOrigin };
    }
    const claimed = await options.holder.claim(partition);
    if (claimed.isErr) {
        return refuse("exclusive-not-holder", claimed.error.message);
    }
    return admitHeld(request, partition, claimed.value, options);
}

async function admitHeld(
    request: GuardedRequest,
    partition: number,
    record: PartitionRecord,
    options: ExclusiveAdmissionOptions,
): Promise<Admission> {
    if (options.isReleasing(partition)) {
        return refuse("exclusive-moving", "the key is being handed over to another gateway");
    }
    const isQuietPeriodOver = await waitUntil(
        record.quietUntilMilliseconds,
        request.deadlineMilliseconds,
        options.clock,
    );
    if (!isQuietPeriodOver) {
        return refuse("exclusive-quiet-period", "an attempt of an earlier holder may still run");
    }
    const wait = request.deadlineMilliseconds - options.clock();
    const release = await options.locks.acquire(nameLock(partition, request), wait);
    if (release === undefined) {
        return refuse("exclusive-busy", "another request of the same key is running", STATUS_CONFLICT);
    }
    return { kind: "proceed", permit: createPermit(request, partition, release, options) };
}

async function waitUntil(time: number, deadline: number, clock: Clock): Promise<boolean> {
    if (time > deadline) {
        return false;
    }
    if (time > clock()) {
        await pause(time - clock());
    }
    return true;
}

function createPermit(
    request: GuardedRequest,
    partition: number,
    release: Release,
    options: ExclusiveAdmissionOptions,
): Permit {
    const now = options.clock();
    const recordedLongestMilliseconds = options.holder.find(partition)?.longestAttemptMilliseconds ?? 0;
    const longestAttemptMilliseconds = Math.min(recordedLongestMilliseconds, options.longestAttemptMilliseconds(now));
    const latestEndMilliseconds = Math.min(request.deadlineMilliseconds, now + longestAttemptMilliseconds);
    return {
        latestEndMilliseconds,
        maySend: time => {
            const record = options.holder.find(partition);
            return record !== undefined
                && !options.isReleasing(partition)
                && options.isRecentlyChecked(time)
                && time < record.horizonMilliseconds
                && time < latestEndMilliseconds;
        },
        finish: async outcome => {
            releaseLock(outcome, latestEndMilliseconds, release, options);
        },
    };
}

/** An attempt without an answer may run until its deadline, which the upstream enforces; the key stays locked till then. */
function releaseLock(
    outcome: PermitOutcome,
    latestEndMilliseconds: number,
    release: Release,
    options: ExclusiveAdmissionOptions,
): void {
    if (outcome !== "unknown") {
        release();
        return;
    }
    const remainingMilliseconds = latestEndMilliseconds + options.settings.clockDifferenceMilliseconds
        - options.clock();
    setTimeout(release, Math.max(0, remainingMilliseconds));
}

/** Gives the name of a request's lock; it starts with its partition. */
export function nameLock(partition: number, request: GuardedRequest): string {
    return `${partition}/${request.service}/${request.exclusiveKey ?? ""}`;
}

function refuse(reason: string, message: string, status: number = STATUS_UNAVAILABLE): Admission {
    return { kind: "refuse", status, outcome: "not-run", reason, message };
}

interface RecentSet {
    has(value: string): boolean;
    add(value: string): void;
}

function createRecentSet(limit: number): RecentSet {
    const values = new Set<string>();
    return {
        has: value => values.has(value),
        add: value => {
            values.add(value);
            if (values.size > limit) {
                const [oldest = ""] = values;
                values.delete(oldest);
            }
        },
    };
}
