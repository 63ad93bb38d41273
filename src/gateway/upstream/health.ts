/**
 * Health of one replica as this gateway sees it: load, latency, failures, circuit breaker.
 */

/** How an attempt ended, for the replica's health. */
export type Verdict =
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

const DECAY = 0.1;
/** Share of failures above which a replica may be ejected. */
const EJECTION_SHARE = 0.3;
/** A replica is ejected only where its failure share is this many times the mean of the others. */
const EJECTION_RATIO = 3;
const EJECTION_ATTEMPTS = 10;
const FORGIVENESS_PER_SWEEP = 0.99;
const FADE_PER_SWEEP = 0.05;

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
export function observeVerdict(
    health: ReplicaHealth,
    verdict: Verdict,
    latencyMilliseconds: number,
    limits: BreakerLimits,
    now: number,
): boolean {
    if (verdict === "left") {
        markLeaving(health, limits, now);
    }
    if (verdict === "unused" || verdict === "left") {
        return false;
    }
    const failed = verdict !== "answered";
    health.attempts += 1;
    health.failureShare += DECAY * ((failed ? 1 : 0) - health.failureShare);
    if (verdict === "refused") {
        return false;
    }
    if (verdict === "answered" || verdict === "erred") {
        health.latencyMilliseconds = health.latencyMilliseconds === 0
            ? latencyMilliseconds
            : health.latencyMilliseconds + DECAY * (latencyMilliseconds - health.latencyMilliseconds);
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
export function fadeHealth(health: ReplicaHealth, meanLatencyMilliseconds: number): void {
    health.failureShare *= FORGIVENESS_PER_SWEEP;
    health.latencyMilliseconds += FADE_PER_SWEEP * (meanLatencyMilliseconds - health.latencyMilliseconds);
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
export function mayTry(health: ReplicaHealth, limits: BreakerLimits, now: number): boolean {
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
    const most = Math.floor(replicas.length * largestShare);
    if (most === 0) {
        return [];
    }
    const total = replicas.reduce((sum, replica) => sum + healthOf(replica).failureShare, 0);
    return replicas
        .filter(replica => {
            const { failureShare, attempts } = healthOf(replica);
            const mean = (total - failureShare) / (replicas.length - 1);
            return attempts >= EJECTION_ATTEMPTS && failureShare > EJECTION_SHARE
                && failureShare > mean * EJECTION_RATIO;
        })
        .sort((left, right) => healthOf(right).failureShare - healthOf(left).failureShare)
        .slice(0, most);
}
