/**
 * Choice of a replica: power of two random choices, near replicas first.
 */
import type { Random } from "../../core/random.js";

/** With an exponent of 3, a replica with twice the other's cost is chosen once in 9 times. */
const COST_EXPONENT = 3;

/** Criteria for choosing a replica. */
export interface ChoiceCriteria<Replica> {
    /** Whether the replica can be sent a request now. */
    readonly isAvailable: (replica: Replica) => boolean;
    /** Load times latency; lower is better. */
    readonly cost: (replica: Replica) => number;
}

/**
 * Chooses a replica. A far replica is chosen where no near one is available, or where the near one costs more than
 * `spillFactor` times as much. Cost includes the latency between data centres.
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

/** Picks two random replicas and prefers the cheaper; where neither is available, scans all from a random index. */
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

/** The costlier replica gets a small share of requests, so that its cost stays up to date. */
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
