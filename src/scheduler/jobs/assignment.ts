/**
 * Assignments: which cells share the runs of a rule, agreed once in the store.
 *
 * Homes of tasks follow from the assignment, not from the cells of the moment, so that a cell which appears or vanishes
 * while a task runs cannot make another cell admit the same task.
 */
import * as z from "zod";
import { Name } from "../../core/messages/identity.js";
import type { CellMap } from "../cells.js";

/** Runs of a rule that an assignment remembers, so that a cell without an owner can still admit its share. */
const MAX_STORED_RUNS = 8;

/** Prefix of all assignments. */
export const ASSIGNMENTS_PREFIX = "scheduler/assignments/";

/** Key of a rule's assignment. */
export function keyOfAssignment(rule: string): string {
    return ASSIGNMENTS_PREFIX + rule;
}

/** A cell with its data centre. */
export const AssignedCell = z.strictObject({ cell: z.string(), dataCentre: Name });
export type AssignedCell = z.infer<typeof AssignedCell>;

/** One run of a batch rule, or the replicas of a service (run 0), over cells. */
export const AssignedRun = z.strictObject({
    /** Scheduled time in seconds since the Unix epoch; 0 for work that runs once and for services. */
    run: z.number(),
    cells: z.array(AssignedCell),
});
export type AssignedRun = z.infer<typeof AssignedRun>;

/** Assignment of one rule. */
export const Assignment = z.strictObject({
    rule: Name,
    /** Revision of the configuration under which the rule was first seen; a rule created again gets a higher one. */
    generation: z.int().min(0),
    /** Runs assigned so far in this generation. */
    count: z.int().min(0),
    /** Newest runs, in order. */
    runs: z.array(AssignedRun),
    /** Revision of the configuration that no longer had the rule. */
    removedRevision: z.int().optional(),
});
export type Assignment = z.infer<typeof Assignment>;

/** What a rule needs of its assignment. */
export interface AssignmentNeed {
    readonly rule: string;
    readonly kind: "service" | "batch";
    /** Run that is due; for services 0. */
    readonly run: number;
    /** Most runs that the rule may have. */
    readonly runsAtMost: number;
    /** Cells that the rule allows now. */
    readonly cells: readonly CellMap[];
    /** Revision of the document that has the rule. */
    readonly revision: number;
}

/** Gives the assignment that should replace the present one; `undefined` where none is needed. */
export function reviseAssignment(current: Assignment | undefined, need: AssignmentNeed): Assignment | undefined {
    const cells = need.cells.map(({ cell, dataCentre }) => ({ cell, dataCentre }));
    if (cells.length === 0) {
        return undefined;
    }
    if (current === undefined) {
        return createAssignment(need, cells);
    }
    if (current.removedRevision !== undefined) {
        if (need.revision <= current.removedRevision) {
            return undefined;
        }
        // The same homes as before keep the rule's earlier tasks and its new ones in one ledger.
        const before = current.runs.at(-1)?.cells ?? [];
        const isStillAllowed = before.length > 0
            && before.every(({ cell }) => cells.some(allowed => allowed.cell === cell));
        return createAssignment(need, isStillAllowed ? before : cells);
    }
    return need.kind === "service" ? reviseCells(current, cells) : addRun(current, need, cells);
}

function createAssignment(need: AssignmentNeed, cells: AssignedCell[]): Assignment {
    return { rule: need.rule, generation: need.revision, count: 1, runs: [{ run: need.run, cells }] };
}

function addRun(current: Assignment, need: AssignmentNeed, cells: AssignedCell[]): Assignment | undefined {
    const newest = current.runs.at(-1);
    if ((newest !== undefined && need.run <= newest.run) || current.count >= need.runsAtMost) {
        return undefined;
    }
    return {
        ...current,
        count: current.count + 1,
        runs: [...current.runs, { run: need.run, cells }].slice(-MAX_STORED_RUNS),
    };
}

/** A service's cells change only where one is no longer allowed, or a data centre has none: replicas seldom move. */
function reviseCells(current: Assignment, cells: AssignedCell[]): Assignment | undefined {
    const assigned = current.runs.at(-1)?.cells ?? [];
    const isLost = assigned.some(({ cell }) => cells.every(allowed => allowed.cell !== cell));
    const isMissing = cells.some(({ dataCentre }) => assigned.every(other => other.dataCentre !== dataCentre));
    return isLost || isMissing ? { ...current, runs: [{ run: 0, cells }] } : undefined;
}
