/**
 * Quotas as slices per cell, so that a start needs no write beyond its own cell.
 */
import type { QuotaSlice } from "../../policy/policy.js";
import type { Configuration, QuotaRule, Resources } from "../../rules/rule.js";
import type { Ledger } from "../ledger/ledger.js";
import { HOLDING_STATES, WAITING_STATES } from "../ledger/task.js";
import type { Task } from "../ledger/task.js";
import { QUOTA_UNITS } from "./shares.js";
import type { QuotaNeed } from "./shares.js";

/** Lists the quotas of all teams. */
export function listQuotas(configuration: Configuration): QuotaRule[] {
    return configuration.documents.flatMap(({ rules }) => rules.flatMap(rule => rule.kind === "quota" ? [rule] : []));
}

/** Gives the room that each team with a quota may still take in a cell, by the units that the cell has of it. */
export function sliceQuotas(
    configuration: Configuration,
    ledger: Ledger,
    unitsOf: (team: string) => number,
): QuotaSlice[] {
    const quotas = listQuotas(configuration);
    if (quotas.length === 0) {
        return [];
    }
    const used = countTeams(ledger, task => HOLDING_STATES.has(task.state));
    return quotas.map(quota => {
        const teamUsage = used.get(quota.name);
        const share = unitsOf(quota.name) / QUOTA_UNITS;
        const remaining = (limit: number | undefined, amount: number) =>
            limit === undefined ? Infinity : limit * share - amount;
        return {
            team: quota.name,
            cores: remaining(quota.cores, teamUsage?.cores ?? 0),
            memoryBytes: remaining(quota.memoryBytes, teamUsage?.memoryBytes ?? 0),
            accelerators: remaining(quota.accelerators, teamUsage?.accelerators ?? 0),
        };
    });
}

/** Gives what a cell holds and needs of a quota, in units. */
export function measureNeed(quota: QuotaRule, ledger: Ledger): Omit<QuotaNeed, "cell"> {
    const isHeld = (task: Task) => {
        // An end that is not committed yet is not an end for a successor.
        const committed = ledger.committed.get(task.taskId);
        return HOLDING_STATES.has(task.state) || (committed !== undefined && HOLDING_STATES.has(committed.state));
    };
    const held = countTeams(ledger, isHeld).get(quota.name);
    const wanted = countTeams(ledger, task => isHeld(task) || WAITING_STATES.has(task.state)).get(quota.name);
    return { used: toUnits(quota, held), wanted: toUnits(quota, wanted) };
}

function toUnits(quota: QuotaRule, amounts: Resources | undefined): number {
    const share = (amount: number, limit: number | undefined) =>
        limit === undefined || amount === 0 ? 0 : amount / Math.max(limit, Number.MIN_VALUE);
    const largest = Math.max(
        share(amounts?.cores ?? 0, quota.cores),
        share(amounts?.memoryBytes ?? 0, quota.memoryBytes),
        share(amounts?.accelerators ?? 0, quota.accelerators),
    );
    return Math.min(QUOTA_UNITS, Math.ceil(largest * QUOTA_UNITS));
}

function countTeams(ledger: Ledger, counts: (task: Task) => boolean): Map<string, Resources> {
    const teams = new Map<string, Resources>();
    for (const task of ledger.draft.values()) {
        if (counts(task)) {
            const { team, resources } = ledger.specOf(task);
            const before = teams.get(team) ?? { cores: 0, memoryBytes: 0, accelerators: 0 };
            teams.set(team, {
                cores: before.cores + resources.cores,
                memoryBytes: before.memoryBytes + resources.memoryBytes,
                accelerators: before.accelerators + resources.accelerators,
            });
        }
    }
    return teams;
}
