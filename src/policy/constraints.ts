/**
 * Constraints on places: state of the worker, data centres, and placement rules of operators.
 *
 * `deny RULE in DATACENTRES` keeps a rule's tasks out of data centres; `deny RULE beside OTHER` keeps the two off one
 * worker, in the named data centres or everywhere; `allow RULE in DATACENTRES` keeps them to the union of all such
 * data centres. A denial goes before an allowance.
 */
import type { PlacementRule } from "../rules/rule.js";
import type { FreeCapacity } from "./capacity.js";
import type { PendingTask, WorkerView } from "./policy.js";

/** A neighbour that is denied. */
interface DeniedNeighbour {
    readonly rule: string;
    /** Empty: everywhere. */
    readonly dataCentres: readonly string[];
}

/** Placement rules by the rule that they are about. */
export interface PlacementConstraints {
    readonly deniedNeighbours: ReadonlyMap<string, readonly DeniedNeighbour[]>;
    readonly deniedDataCentres: ReadonlyMap<string, ReadonlySet<string>>;
    readonly allowedDataCentres: ReadonlyMap<string, ReadonlySet<string>>;
}

/** Sorts placement rules by what they say. A pair means the same whichever of the two comes first. */
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

/** Says why a task may never run in a data centre, or `undefined` where it may. */
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

/** Says why a worker takes no new task, or `undefined` where it does. */
export function findWorkerStateRefusal(view: WorkerView): string | undefined {
    if (view.state !== "live") {
        return `worker is ${view.state}`;
    }
    return view.instance.state === "live" ? undefined : `worker is ${view.instance.state}`;
}

/** Says which neighbour keeps a task off a worker, or `undefined` where none does. */
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
