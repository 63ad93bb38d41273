/**
 * Choice of a replica: the better of two random ones, near ones first.
 */
import type { Random } from "../../core/random.js";

/** A replica at twice the other's cost is taken once in 9 times. */
const WEIGHT_POWER = 3;

/** What a choice is made by. */
export interface ChoiceView<Replica> {
    /** The replica can take a request now. */
    readonly isFree: (replica: Replica) => boolean;
    /** Load times latency: the less the better. */
    readonly cost: (replica: Replica) => number;
}

/**
 * Chooses a replica. Far ones are chosen where no near one is free, or where a near one costs `spillFactor` times as
 * much; the cost is measured, so that it contains the way between the data centres.
 */
export function chooseReplica<Replica>(
    near: readonly Replica[],
    far: readonly Replica[],
    view: ChoiceView<Replica>,
    spillFactor: number,
    random: Random,
): Replica | undefined {
    const nearest = chooseOfTwo(near, view, random);
    if (far.length === 0) {
        return nearest;
    }
    const other = chooseOfTwo(far, view, random);
    if (nearest === undefined || other === undefined) {
        return nearest ?? other;
    }
    return view.cost(nearest) > spillFactor * view.cost(other) ? other : nearest;
}

/** Draws two replicas and takes the cheaper with high probability; where neither is free, the first free one from a random place on. */
function chooseOfTwo<Replica>(
    replicas: readonly Replica[],
    view: ChoiceView<Replica>,
    random: Random,
): Replica | undefined {
    if (replicas.length === 0) {
        return undefined;
    }
    const firstIndex = Math.floor(random() * replicas.length);
    const first = replicas[firstIndex];
    const second = replicas[(firstIndex + 1 + Math.floor(random() * (replicas.length - 1))) % replicas.length];
    const candidates = [first, second].filter(replica => replica !== undefined).filter(view.isFree);
    const [left, right] = candidates;
    if (left !== undefined) {
        return right === undefined ? left : weigh(left, right, view, random);
    }
    for (let step = 0; step < replicas.length; step += 1) {
        const replica = replicas[(firstIndex + step) % replicas.length];
        if (replica !== undefined && view.isFree(replica)) {
            return replica;
        }
    }
    return undefined;
}

/** The dearer one gets a small share, so that news of it does not grow old. */
function weigh<Replica>(left: Replica, right: Replica, view: ChoiceView<Replica>, random: Random): Replica {
    const leftWeight = view.cost(right) ** WEIGHT_POWER;
    const rightWeight = view.cost(left) ** WEIGHT_POWER;
    return random() * (leftWeight + rightWeight) < leftWeight ? left : right;
}
