/**
 * Placement constraints: worker state, data centres, and the operators' placement rules.
 *
 * `deny RULE in DATACENTRES` excludes a rule's tasks from data centres. `deny RULE beside OTHER` forbids the two rules
 * on the same worker, in the named data centres or in all of them. `allow RULE in DATACENTRES` restricts a rule's tasks
 * to the union of the data centres that its `allow` rules name. `deny` takes precedence over `allow`.
 */
import type { PlacementRule } from "../rules/rule.js";
import type { FreeCapacity } from "./capacity.js";
import type { PendingTask, WorkerView } from "./policy.js";

/** A rule whose tasks must not share a worker with the tasks of another rule. */
interface DeniedNeighbour {
    readonly rule: string;
    /** Data centres where the denial applies; empty for all. */
    readonly dataCentres: readonly string[];
}

/** Placement constraints indexed by the rule that they apply to. */
export interface PlacementConstraints {
    readonly deniedNeighbours: ReadonlyMap<string, readonly DeniedNeighbour[]>;
    readonly deniedDataCentres: ReadonlyMap<string, ReadonlySet<string>>;
    readonly allowedDataCentres: ReadonlyMap<string, ReadonlySet<string>>;
}

/** Indexes placement rules by rule name. A denied pair is indexed under both rules, since its order does not matter. */
export function buildConstraints(placements: readonly PlacementRule[]): PlacementConstraints {
    const deniedNeighbours = new Map<string, DeniedNeighbour[]>();
    const deniedDataCentres = new Map<string, Set<string>>();
    const allowedDataCentres = new Map<string, Set<string>>();
    for (const placement of placements) {
        const { name, beside, dataCentres } = placement;
        if (beside === undefined) {
            const target = placement.kind === "deny" ? deniedDataCentres : allowedDataCentres;
            addAll(target, name, dataCentres);
        }
        else if (placement.kind === "deny") {
            append(deniedNeighbours, name, { rule: beside, dataCentres });
            append(deniedNeighbours, beside, { rule: name, dataCentres });
        }
    }
    return { deniedNeighbours, deniedDataCentres, allowedDataCentres };
}

function append<Value>(map: Map<string, Value[]>, key: string, value: Value): void {
    const values = map.get(key) ?? [];
    values.push(value);
    map.set(key, values);
}

function addAll(map: Map<string, Set<string>>, key: string, values: readonly string[]): void {
    const set = map.get(key) ?? new Set();
    for (const value of values) {
        set.add(value);
    }
    map.set(key, set);
}

/** Returns the reason why a task may not run in a data centre, or `undefined` if it may. */
export function findDataCentreRefusal(
    constraints: PlacementConstraints,
    task: Pick<PendingTask, "rule" | "dataCentres">,
    dataCentre: string,
): string | undefined {
    if (task.dataCentres.length > 0 && !task.dataCentres.includes(dataCentre)) {
        return `data centre ${dataCentre} is not among those of the rule`;
    }
    if (constraints.deniedDataCentres.get(task.rule)?.has(dataCentre) === true) {
        return `data centre ${dataCentre} is denied`;
    }
    const allowed = constraints.allowedDataCentres.get(task.rule);
    return allowed !== undefined && allowed.size > 0 && !allowed.has(dataCentre)
        ? `data centre ${dataCentre} is not among those allowed`
        : undefined;
}

/** Returns the reason why a worker's state excludes new tasks, or `undefined` if it accepts them. */
export function findWorkerStateRefusal(view: WorkerView): string | undefined {
    if (view.state !== "live") {
        return `worker is ${view.state}`;
    }
    return view.instance.state === "live" ? undefined : `worker is ${view.instance.state}`;
}

/** Returns the reason why a worker's current tasks exclude a rule's tasks, or `undefined` if none does. */
export function findNeighbourRefusal(
    constraints: PlacementConstraints,
    rule: string,
    capacity: FreeCapacity,
): string | undefined {
    const denied = constraints.deniedNeighbours.get(rule);
    if (denied === undefined) {
        return undefined;
    }
    const { dataCentre } = capacity.view.instance;
    const neighbour = denied.find(entry =>
        appliesIn(entry, dataCentre)
        && capacity.occupants.some(occupant => occupant.rule === entry.rule)
    );
    return neighbour === undefined ? undefined : `a place beside ${neighbour.rule} is denied`;
}

function appliesIn({ dataCentres }: DeniedNeighbour, dataCentre: string): boolean {
    return dataCentres.length === 0 || dataCentres.includes(dataCentre);
}
