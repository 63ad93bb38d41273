/**
 * Which cell a task belongs to when it is created.
 */
import { rankByRendezvous } from "../../core/random.js";
import { findDataCentreRefusal } from "../../policy/constraints.js";
import type { PlacementConstraints } from "../../policy/constraints.js";
import type { CellMap } from "../cells.js";
import type { AssignedCell } from "./assignment.js";

/** What limits a rule to data centres, as the policy reads it. */
export interface RuleLimits {
    readonly rule: string;
    /** Empty: all. */
    readonly dataCentres: readonly string[];
}

/** Cells of the data centres that a rule and the placement rules of operators allow. */
export function allowedCells(
    cells: readonly CellMap[],
    limits: RuleLimits,
    constraints: PlacementConstraints,
): CellMap[] {
    return cells.filter(({ dataCentre }) => findDataCentreRefusal(constraints, limits, dataCentre) === undefined);
}

/** Gives the home of a batch task. */
export function homeOfTask(taskId: string, cells: readonly string[]): string | undefined {
    return rankByRendezvous(taskId, cells, cell => cell)[0];
}

/**
 * Gives the home of each replica of a service, by its slot: data centres take turns, and within each data centre its
 * cells do.
 */
export function homesOfReplicas(rule: string, replicas: number, cells: readonly AssignedCell[]): string[] {
    const groups = new Map<string, string[]>();
    for (const { cell, dataCentre } of cells) {
        groups.set(dataCentre, [...groups.get(dataCentre) ?? [], cell]);
    }
    const cellsByDataCentre = rankByRendezvous(rule, [...groups.keys()], dataCentre => dataCentre)
        .map(dataCentre => rankByRendezvous(rule, groups.get(dataCentre) ?? [], cell => cell));
    return Array.from({ length: replicas }, (entry, slot) => {
        const cellsInTurn = cellsByDataCentre[slot % cellsByDataCentre.length] ?? [];
        return cellsInTurn[Math.floor(slot / cellsByDataCentre.length) % cellsInTurn.length] ?? "";
    });
}
