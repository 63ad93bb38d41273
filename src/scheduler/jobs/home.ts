/**
 * Which cell a task belongs to when it is created.
 */
import { rankByRendezvous } from "../../core/random.js";
import type { CellMap } from "../cells.js";
import type { AssignedCell } from "./assignment.js";

/** Cells that a rule's data centres allow; an empty list of data centres allows all. */
export function allowedCells(cells: readonly CellMap[], dataCentres: readonly string[]): CellMap[] {
    return cells.filter(({ dataCentre }) => dataCentres.length === 0 || dataCentres.includes(dataCentre));
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
    const turns = rankByRendezvous(rule, [...groups.keys()], dataCentre => dataCentre)
        .map(dataCentre => rankByRendezvous(rule, groups.get(dataCentre) ?? [], cell => cell));
    return Array.from({ length: replicas }, (entry, slot) => {
        const turn = turns[slot % turns.length] ?? [];
        return turn[Math.floor(slot / turns.length) % turn.length] ?? "";
    });
}
