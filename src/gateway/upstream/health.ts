/**
 * Health of one replica, from this gateway's requests: load, latency, failures, circuit breaker.
 */

/** Outcome of an attempt, for the replica's health. */
export type ReplicaOutcome =
    /** A complete answer. */
    | "answered"
    /** A complete answer with a server error. */
    | "erred"
    /** The replica answered that it did not run the request. */
    | "refused"
    /** The replica answered that it is leaving, or that the attempt no longer runs there. */
    | "left"
    /** No connection, or an incomplete or invalid answer. */
    | "failed"
    /** No complete answer before the deadline. */
    | "timed-out"
    /** The attempt says nothing about the replica. */
    | "unused";

/** Limits of the circuit breaker, and the time for which a leaving replica gets no requests. */
export interface BreakerLimits {
    readonly breakerFailures: number;
    readonly breakerOpenMilliseconds: number;
    readonly breakerLongestMilliseconds: number;
    readonly leavingMilliseconds: number;
}

/** Health of one replica. */
export interface ReplicaHealth {
    inFlight: number;
    /** Exponentially weighted mean latency of complete answers; 0 before the first. */
    latencyMilliseconds: number;
    /** Exponentially weighted share of attempts that failed. */
    failureShare: number;
    attempts: number;
    failuresInARow: number;
    openUntilMilliseconds: number;
    nextOpenMilliseconds: number;
    /** The replica gets no requests until this time, since it is leaving. */
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

/** Creates the health of a replica without attempts. */
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

/** Records the outcome of an attempt; returns whether it opened the circuit breaker. */
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

/** Excludes a leaving replica for a time, after which it may get requests again. */
export function markLeaving(health: ReplicaHealth, limits: BreakerLimits, now: number): void {
    health.leavingUntilMilliseconds = now + limits.leavingMilliseconds;
}

/**
 * Decays the failure share and moves the latency to the service's mean, so that an excluded replica gets requests
 * again. Called at each sweep.
 */
export function decayHealth(health: ReplicaHealth, meanLatencyMilliseconds: number): void {
    health.failureShare *= FAILURE_SHARE_DECAY_PER_SWEEP;
    health.latencyMilliseconds += LATENCY_DECAY_PER_SWEEP * (meanLatencyMilliseconds - health.latencyMilliseconds);
}

/** Opens the circuit breaker, for twice as long as the last time up to a limit. */
export function openBreaker(health: ReplicaHealth, limits: BreakerLimits, now: number): void {
    if (health.openUntilMilliseconds > now) {
        return;
    }
    health.failuresInARow = Math.max(health.failuresInARow, limits.breakerFailures);
    health.openUntilMilliseconds = now + health.nextOpenMilliseconds;
    health.nextOpenMilliseconds = Math.min(health.nextOpenMilliseconds * 2, limits.breakerLongestMilliseconds);
}

/** Whether a replica may get a request; after the breaker's time, one request at a time probes it. */
export function isEligible(health: ReplicaHealth, limits: BreakerLimits, now: number): boolean {
    if (Math.max(health.leavingUntilMilliseconds, health.openUntilMilliseconds) > now) {
        return false;
    }
    return health.failuresInARow < limits.breakerFailures || health.inFlight === 0;
}

/** Returns the replicas to exclude for failing more than the others, worst first, at most a share of all. */
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
