/**
 * The operators' configuration of queues and of the worker pools that run their tasks.
 */

/** Response times of the advisor, a service that decides which workers may run a step. */
export interface AdvisorTimes {
    readonly decisionMilliseconds: number;
    readonly perWorkerMilliseconds: number;
    /** How long a decision stays valid. */
    readonly validMilliseconds: number;
}

/** A queue that callers submit jobs to. */
export interface Queue {
    readonly name: string;
    /** Pool of workers that run the queue's tasks. */
    readonly pool: string;
    /** 0 is the highest priority, and may evict tasks of lower ones. */
    readonly priority: number;
    /** Number of failed attempts of a task after which its job fails. */
    readonly maximumAttempts: number;
    /** A job should end within this multiple of its longest chain of work, plus the latency objective. */
    readonly stretchFactor: number;
    readonly latencyObjectiveMilliseconds: number;
    readonly advisor: AdvisorTimes | undefined;
}

/** Configuration in force. */
export interface Catalog {
    /** Rises with each change. */
    readonly version: number;
    readonly queues: ReadonlyMap<string, Queue>;
    /** Pools whose workers refuse tasks that exceed their free capacity. */
    readonly admissionCheckedPools: ReadonlySet<string>;
}
