/**
 * Caches all assignments by a watch, and revises those that this scheduler is the leader of.
 */
import type { Result } from "true-myth/result";
import type { Failure } from "../../core/errors.js";
import type { Logger } from "../../core/log.js";
import { rankByRendezvous } from "../../core/random.js";
import { pause } from "../../core/time.js";
import type { Clock } from "../../core/time.js";
import { commitRecord, decodeRecord } from "../../platform/commit.js";
import type { StoredRecord } from "../../platform/commit.js";
import type { KeyValue, Store } from "../../platform/store.js";
import { buildConstraints } from "../../policy/constraints.js";
import type { BatchRule, Configuration } from "../../rules/rule.js";
import type { CellMap } from "../cells.js";
import { Assignment, ASSIGNMENTS_PREFIX, keyOfAssignment, reviseAssignment } from "./assignment.js";
import type { AssignmentNeed } from "./assignment.js";
import { findDueRun } from "./due.js";
import { allowedCells } from "./home.js";
import { listPlacements, listRunnable } from "./spec.js";

const PAGE_ENTRIES = 200;
const WRITES_AT_ONCE = 16;
/** Interval at which all assignments are read again. */
const REFRESH_MILLISECONDS = 30_000;
const RETRY_MILLISECONDS = 500;
/** Time after which another scheduler revises an assignment that its leader has not revised. */
const LEADER_LIMIT_MILLISECONDS = 3_000;

/** Options of the cache. */
export interface AssignmentsOptions {
    readonly store: Store;
    readonly clock: Clock;
    readonly logger: Logger;
    configuration(): Configuration | undefined;
    cells(): readonly CellMap[];
    owns(cell: string): boolean;
}

/** Cache of all assignments. */
export interface Assignments {
    find(rule: string): Assignment | undefined;
    /** Rises with each change of the cache. */
    version(): number;
    /** Revises the assignments that this scheduler is the leader of. */
    revise(signal: AbortSignal): Promise<void>;
    /** Keeps the cache up to date until the signal is aborted. */
    run(signal: AbortSignal): Promise<void>;
}

/** A write that was derived from a record; it waits for other writes, and has no effect where the record is another by then. */
interface Revision {
    readonly next: Assignment;
    /** Revision of the record in the store; 0 where there is none. */
    readonly revision: number;
}

/** Creates an empty cache. */
export function createAssignments(options: AssignmentsOptions): Assignments {
    const { store, clock, logger } = options;
    const records = new Map<string, StoredRecord<Assignment>>();
    const neededSince = new Map<string, number>();
    let isLoaded = false;
    let version = 0;

    const applyEntry = (entry: KeyValue): void => {
        const decoded = decodeRecord(entry, Assignment);
        if (decoded.isErr) {
            logger.error("assignment not readable", { failure: decoded.error });
            return;
        }
        const { rule } = decoded.value.body;
        if ((records.get(rule)?.revision ?? 0) < decoded.value.revision) {
            records.set(rule, decoded.value);
            version += 1;
        }
    };

    const load = async (): Promise<Result<number, Failure>> => {
        let after: string | undefined;
        for (;;) {
            const page = await store.read({
                key: ASSIGNMENTS_PREFIX,
                prefix: true,
                limit: PAGE_ENTRIES,
                ...(after === undefined ? {} : { after }),
            });
            if (page.isErr) {
                return page.map(({ revision }) => revision);
            }
            page.value.entries.forEach(applyEntry);
            after = page.value.entries.at(-1)?.key;
            if (!page.value.more || after === undefined) {
                return page.map(({ revision }) => revision);
            }
        }
    };

    /** Watches for a limited time; all is read again afterwards, as a watch can stop without an error. */
    const watchFor = async (milliseconds: number, fromRevision: number, signal: AbortSignal): Promise<void> => {
        const watchEnd = new AbortController();
        const watching = store.watch({
            prefix: ASSIGNMENTS_PREFIX,
            fromRevision,
            signal: AbortSignal.any([signal, watchEnd.signal]),
            onEvents: events => events.filter(({ kind }) => kind === "put").forEach(({ entry }) => applyEntry(entry)),
        });
        await Promise.race([watching, pause(milliseconds, signal)]);
        watchEnd.abort();
        await watching;
    };

    const write = async ({ next, revision }: Revision, signal: AbortSignal): Promise<void> => {
        if ((records.get(next.rule)?.revision ?? 0) !== revision) {
            return;
        }
        const committed = await commitRecord(store, {
            key: keyOfAssignment(next.rule),
            body: next,
            expectedRevision: revision,
            signal,
        });
        if (committed.isOk) {
            records.set(next.rule, { body: next, revision: committed.value, leaseId: "" });
            version += 1;
            neededSince.delete(next.rule);
        }
        else if (committed.error.code === "conflict") {
            // The watch has not delivered the newest record; it may have stopped.
            const found = await store.read({ key: keyOfAssignment(next.rule) });
            found.map(({ entries }) => entries.forEach(applyEntry));
        }
    };

    /** True for the leader of an assignment, and for other owners once the leader has not revised it in time. */
    const mayRevise = (rule: string, cells: readonly { readonly cell: string; }[]): boolean => {
        const leader = rankByRendezvous(rule, cells, ({ cell }) => cell)[0];
        if (leader !== undefined && options.owns(leader.cell)) {
            return true;
        }
        const since = neededSince.get(rule) ?? clock();
        neededSince.set(rule, since);
        return clock() - since >= LEADER_LIMIT_MILLISECONDS && cells.some(({ cell }) => options.owns(cell));
    };

    const reviseNeeded = async (configuration: Configuration, signal: AbortSignal): Promise<void> => {
        const writes: Revision[] = [];
        for (const need of listNeeds(configuration, options.cells(), clock())) {
            const current = records.get(need.rule);
            const next = reviseAssignment(current?.body, need);
            if (next === undefined) {
                neededSince.delete(need.rule);
            }
            else if (mayRevise(need.rule, need.cells)) {
                writes.push({ next, revision: current?.revision ?? 0 });
            }
        }
        for (let start = 0; start < writes.length; start += WRITES_AT_ONCE) {
            await Promise.all(writes.slice(start, start + WRITES_AT_ONCE).map(next => write(next, signal)));
        }
    };

    const markRemoved = async (configuration: Configuration, signal: AbortSignal): Promise<void> => {
        const names = new Set(configuration.documents.flatMap(({ rules }) => rules.map(({ name }) => name)));
        for (const { body, revision } of [...records.values()]) {
            const isGone = body.removedRevision === undefined && !names.has(body.rule)
                && body.generation <= configuration.revision;
            if (isGone && mayRevise(body.rule, options.cells())) {
                await write({ next: { ...body, removedRevision: configuration.revision }, revision }, signal);
            }
        }
    };

    return {
        version: () => version,
        find: rule => records.get(rule)?.body,
        async revise(signal) {
            const configuration = options.configuration();
            if (isLoaded && configuration !== undefined) {
                await reviseNeeded(configuration, signal);
                await markRemoved(configuration, signal);
            }
        },
        async run(signal) {
            while (!signal.aborted) {
                const revision = await load();
                if (revision.isOk) {
                    isLoaded = true;
                    await watchFor(REFRESH_MILLISECONDS, revision.value + 1, signal);
                }
                await pause(RETRY_MILLISECONDS, signal);
            }
        },
    };
}

function listNeeds(configuration: Configuration, cells: readonly CellMap[], now: number): AssignmentNeed[] {
    const constraints = buildConstraints(listPlacements(configuration, now));
    return listRunnable(configuration, now).flatMap(({ rule, document }): AssignmentNeed[] => {
        const common = {
            rule: rule.name,
            cells: allowedCells(cells, { rule: rule.name, dataCentres: rule.dataCentres }, constraints),
            revision: document.revision,
        };
        if (rule.kind === "service") {
            return [{ ...common, kind: rule.kind, run: 0, runsAtMost: 1 }];
        }
        const run = findDueRun(rule, document.appliedAtMilliseconds, now);
        return run === undefined ? [] : [{ ...common, kind: rule.kind, run, runsAtMost: runsAtMost(rule) }];
    });
}

function runsAtMost(rule: BatchRule): number {
    return rule.end.runs ?? Infinity;
}
