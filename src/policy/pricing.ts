/**
 * Price of capacity on workers without services, where batch tasks cause no interference.
 *
 * The price is 0 if all batch tasks fit on these workers. Otherwise the rules with the lowest interference cost should
 * run next to services. The price is then the cost of the marginal rule: rules with a lower cost prefer workers with
 * services, rules with a higher cost prefer workers without.
 */
import type { FreeCapacity } from "./capacity.js";
import type { PendingTask } from "./policy.js";

/** Share of the service-free cores that batch tasks can fill; the rest is lost to fragmentation. */
const FILLABLE_SHARE = 0.85;

/** Returns the price of one core on a worker without services. */
export function computeServiceFreeCorePrice(
    capacities: readonly FreeCapacity[],
    pending: readonly PendingTask[],
    costPerCore: (batchRule: string) => number,
): number {
    const demand = sumDemand(capacities, pending);
    let excess = [...demand.values()].reduce((total, cores) => total + cores, 0)
        - FILLABLE_SHARE * sumServiceFreeCores(capacities);
    if (excess <= 0) {
        return 0;
    }
    const ranked = [...demand.entries()]
        .map(([rule, cores]) => ({ cost: costPerCore(rule), cores }))
        .sort((left, right) => left.cost - right.cost);
    for (const { cost, cores } of ranked) {
        excess -= cores;
        if (excess <= 0) {
            return cost;
        }
    }
    return ranked.at(-1)?.cost ?? 0;
}

function sumDemand(capacities: readonly FreeCapacity[], pending: readonly PendingTask[]): Map<string, number> {
    const demand = new Map<string, number>();
    const tasks = [...capacities.flatMap(capacity => capacity.occupants), ...pending].filter(task =>
        task.kind === "batch"
    );
    for (const { rule, resources } of tasks) {
        demand.set(rule, (demand.get(rule) ?? 0) + resources.cores);
    }
    return demand;
}

function sumServiceFreeCores(capacities: readonly FreeCapacity[]): number {
    return capacities
        .filter(capacity =>
            capacity.view.state === "live" && !capacity.occupants.some(occupant => occupant.kind === "service")
        )
        .reduce((total, capacity) => total + capacity.view.instance.shape.cores, 0);
}
