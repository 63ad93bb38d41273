/**
 * Health of one replica as this gateway sees it: load, latency, failures, circuit breaker.
 */

/** How an attempt ended, for the replica's health. */
export type ReplicaOutcome =
    /** A whole answer. */
    | "answered"
    /** A whole answer with a server error. */
    | "erred"
    /** The replica said that it did not run the request. */
    | "refused"
    /** The replica said that it is leaving, or that the attempt is not its own any more. */
    | "left"
    /** No connection, a broken or a wrong answer. */
    | "failed"
    /** No answer in time. */
    | "timed-out"
    /** Nothing was learned. */
    | "unused";

/** Limits of the circuit breaker, and of what a replica's word that it is leaving is good for. */
export interface BreakerLimits {
    readonly breakerFailures: number;
    readonly breakerOpenMilliseconds: number;
    readonly breakerLongestMilliseconds: number;
    readonly leavingMilliseconds: number;
}

/** State of one replica. */
export interface ReplicaHealth {
    inFlight: number;
    /** Decayed mean latency of whole answers; 0 before the first. */
    latencyMilliseconds: number;
    /** Decayed share of attempts that failed. */
    failureShare: number;
    attempts: number;
    failuresInARow: number;
    openUntilMilliseconds: number;
    nextOpenMilliseconds: number;
    /** Its word that it is leaving counts until then. */
    leavingUntilMilliseconds: number;
}

const SAMPLE_WEIGHT = 0.1;
/** Share of failures above which a replica may be ejected. */
const EJECTION_FAILURE_SHARE = 0.3;
/** A replica is ejected only where its failure share is this many times the mean of the others. */
const EJECTION_RATIO = 3;
const EJECTION_MINIMUM_ATTEMPTS = 10;
const FAILURE_SHARE_DECAY_PER_SWEEP = 0.99;
const LATENCY_DECAY_PER_SWEEP = 0.05;

/** Creates the state of a replica of which nothing is known. */
export function createReplicaHealth(limits: BreakerLimits): ReplicaHealth {
    return {
        inFlight: 0,
        latencyMilliseconds: 0,
        failureShare: 0,
        attempts: 0,
        failuresInARow: 0,
        openUntilMilliseconds: 0,
        nextOpenMilliseconds: limits.breakerOpenMilliseconds,
        leavingUntilMilliseconds: 0,
    };
}

/** Takes in how an attempt ended. Tells whether the circuit breaker has opened. */
export function observeOutcome(
    health: ReplicaHealth,
    outcome: ReplicaOutcome,
    latencyMilliseconds: number,
    limits: BreakerLimits,
    now: number,
): boolean {
    if (outcome === "left") {
        markLeaving(health, limits, now);
    }
    if (outcome === "unused" || outcome === "left") {
        return false;
    }
    const isFailure = outcome !== "answered";
    health.attempts += 1;
    health.failureShare += SAMPLE_WEIGHT * ((isFailure ? 1 : 0) - health.failureShare);
    if (outcome === "refused") {
        return false;
    }
    if (outcome === "answered" || outcome === "erred") {
        health.latencyMilliseconds = health.latencyMilliseconds === 0
            ? latencyMilliseconds
            : health.latencyMilliseconds + SAMPLE_WEIGHT * (latencyMilliseconds - health.latencyMilliseconds);
        health.failuresInARow = 0;
        health.openUntilMilliseconds = 0;
        health.nextOpenMilliseconds = limits.breakerOpenMilliseconds;
        return false;
    }
    health.failuresInARow += 1;
    if (health.failuresInARow < limits.breakerFailures) {
        return false;
    }
    openBreaker(health, limits, now);
    return true;
}

/** Leaves a replica out for a time; one that was not leaving after all gets requests again then. */
export function markLeaving(health: ReplicaHealth, limits: BreakerLimits, now: number): void {
    health.leavingUntilMilliseconds = now + limits.leavingMilliseconds;
}

/**
 * Lets news fade with time, called at each sweep: failures are forgiven, and latency moves to the service's mean, so
 * that a replica that is left out gets another chance.
 */
export function decayHealth(health: ReplicaHealth, meanLatencyMilliseconds: number): void {
    health.failureShare *= FAILURE_SHARE_DECAY_PER_SWEEP;
    health.latencyMilliseconds += LATENCY_DECAY_PER_SWEEP * (meanLatencyMilliseconds - health.latencyMilliseconds);
}

/** Opens the circuit breaker, for twice as long as the last time. */
export function openBreaker(health: ReplicaHealth, limits: BreakerLimits, now: number): void {
    if (health.openUntilMilliseconds > now) {
        return;
    }
    health.failuresInARow = Math.max(health.failuresInARow, limits.breakerFailures);
    health.openUntilMilliseconds = now + health.nextOpenMilliseconds;
    health.nextOpenMilliseconds = Math.min(health.nextOpenMilliseconds * 2, limits.breakerLongestMilliseconds);
}

/** Tells whether a replica may be given a request: after the breaker's time one request at a time tries it. */
export function isEligible(health: ReplicaHealth, limits: BreakerLimits, now: number): boolean {
    if (Math.max(health.leavingUntilMilliseconds, health.openUntilMilliseconds) > now) {
        return false;
    }
    return health.failuresInARow < limits.breakerFailures || health.inFlight === 0;
}

/** Names the replicas to leave out for failing more than the others, the worst first, at most a share of all. */
export function findOutliers<Replica>(
    replicas: readonly Replica[],
    healthOf: (replica: Replica) => ReplicaHealth,
    largestShare: number,
): Replica[] {
    const ejectionLimit = Math.floor(replicas.length * largestShare);
    if (ejectionLimit === 0) {
        return [];
    }
    const total = replicas.reduce((sum, replica) => sum + healthOf(replica).failureShare, 0);
    return replicas
        .filter(replica => {
            const { failureShare, attempts } = healthOf(replica);
            const mean = (total - failureShare) / (replicas.length - 1);
            return attempts >= EJECTION_MINIMUM_ATTEMPTS && failureShare > EJECTION_FAILURE_SHARE
                && failureShare > mean * EJECTION_RATIO;
        })
        .sort((left, right) => healthOf(right).failureShare - healthOf(left).failureShare)
        .slice(0, ejectionLimit);
}
