/**
 * Choice of a replica: the better of two random ones, near ones first.
 */
import type { Random } from "../../core/random.js";

/** A replica at twice the other's cost is taken once in 9 times. */
const COST_EXPONENT = 3;

/** What a choice is made by. */
export interface ChoiceCriteria<Replica> {
    /** The replica can take a request now. */
    readonly isAvailable: (replica: Replica) => boolean;
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
    criteria: ChoiceCriteria<Replica>,
    spillFactor: number,
    random: Random,
): Replica | undefined {
    const nearCandidate = chooseFromTwo(near, criteria, random);
    if (far.length === 0) {
        return nearCandidate;
    }
    const farCandidate = chooseFromTwo(far, criteria, random);
    if (nearCandidate === undefined || farCandidate === undefined) {
        return nearCandidate ?? farCandidate;
    }
    return criteria.cost(nearCandidate) > spillFactor * criteria.cost(farCandidate) ? farCandidate : nearCandidate;
}

/** Draws two replicas and takes the cheaper with high probability; where neither is free, the first free one from a random place on. */
function chooseFromTwo<Replica>(
    replicas: readonly Replica[],
    criteria: ChoiceCriteria<Replica>,
    random: Random,
): Replica | undefined {
    if (replicas.length === 0) {
        return undefined;
    }
    const firstIndex = Math.floor(random() * replicas.length);
    const first = replicas[firstIndex];
    const second = replicas[(firstIndex + 1 + Math.floor(random() * (replicas.length - 1))) % replicas.length];
    const candidates = [first, second].filter(replica => replica !== undefined).filter(criteria.isAvailable);
    const [left, right] = candidates;
    if (left !== undefined) {
        return right === undefined ? left : chooseByCost(left, right, criteria, random);
    }
    for (let step = 0; step < replicas.length; step += 1) {
        const replica = replicas[(firstIndex + step) % replicas.length];
        if (replica !== undefined && criteria.isAvailable(replica)) {
            return replica;
        }
    }
    return undefined;
}

/** The dearer one gets a small share, so that news of it does not grow old. */
function chooseByCost<Replica>(
    left: Replica,
    right: Replica,
    criteria: ChoiceCriteria<Replica>,
    random: Random,
): Replica {
    const leftWeight = criteria.cost(right) ** COST_EXPONENT;
    const rightWeight = criteria.cost(left) ** COST_EXPONENT;
    return random() * (leftWeight + rightWeight) < leftWeight ? left : right;
}
