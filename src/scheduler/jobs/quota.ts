/**
 * Quotas as slices per cell, so that a start needs no write beyond its own cell.
 */
import type { QuotaSlice } from "../../policy/policy.js";
import type { Configuration } from "../../rules/rule.js";
import type { Ledger } from "../ledger/ledger.js";
import { HOLDING_STATES } from "../ledger/task.js";

/** Gives the room that each team with a quota may still take in a cell, its slice being an equal share. */
export function sliceQuotas(configuration: Configuration, ledger: Ledger, cells: number): QuotaSlice[] {
    const slices = configuration.documents.flatMap(({ rules }) =>
        rules.flatMap(rule => rule.kind === "quota" ? [rule] : [])
    );
    if (slices.length === 0) {
        return [];
    }
    const used = countTeams(ledger);
    return slices.map(quota => {
        const taken = used.get(quota.name);
        const rest = (limit: number | undefined, amount: number) =>
            limit === undefined ? Infinity : limit / cells - amount;
        return {
            team: quota.name,
            cores: rest(quota.cores, taken?.cores ?? 0),
            memoryBytes: rest(quota.memoryBytes, taken?.memoryBytes ?? 0),
            accelerators: rest(quota.accelerators, taken?.accelerators ?? 0),
        };
    });
}

function countTeams(ledger: Ledger): Map<string, QuotaSlice> {
    const used = new Map<string, QuotaSlice>();
    for (const task of ledger.draft.values()) {
        if (HOLDING_STATES.has(task.state)) {
            const { team, resources } = ledger.specOf(task);
            const before = used.get(team) ?? { team, cores: 0, memoryBytes: 0, accelerators: 0 };
            used.set(team, {
                team,
                cores: before.cores + resources.cores,
                memoryBytes: before.memoryBytes + resources.memoryBytes,
                accelerators: before.accelerators + resources.accelerators,
            });
        }
    }
    return used;
}
