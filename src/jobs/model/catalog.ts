/**
 * The operators' configuration of queues, and of the pools of workers that they send their tasks to.
 */

/** A service that says which workers may run a step, and how long it takes over it. */
export interface AdvisorTimes {
    readonly decisionMilliseconds: number;
    readonly perWorkerMilliseconds: number;
    /** How long its word on a step holds. */
    readonly validMilliseconds: number;
}

/** A queue that callers submit jobs to. */
export interface Queue {
    readonly name: string;
    /** Pool of workers that run the queue's tasks. */
    readonly pool: string;
    /** 0 comes first, and may take the place of others. */
    readonly priority: number;
    /** Failed attempts of a task after which its job has failed. */
    readonly maximumAttempts: number;
    /** The objective of a job: this many times its longest chain of work, and the latency objective more. */
    readonly stretchFactor: number;
    readonly latencyObjectiveMilliseconds: number;
    readonly advisor: AdvisorTimes | undefined;
}

/** Configuration in force. */
export interface Catalog {
    /** Rises with each change. */
    readonly version: number;
    readonly queues: ReadonlyMap<string, Queue>;
    /** Pools whose workers refuse by themselves what has no room. */
    readonly admissionCheckedPools: ReadonlySet<string>;
}
