/**
 * Format of the changes to a cell's jobs in the store. Segments and snapshots share it.
 */
import * as z from "zod";
import { JobState, Submission } from "../model/job.js";

const Accepted = z.object({
    id: z.string(),
    queue: z.string(),
    submission: Submission,
    acceptedAtMilliseconds: z.number(),
});

const Ended = z.object({
    id: z.string(),
    queue: z.string(),
    state: JobState,
    endedAtMilliseconds: z.number(),
    /** Whether the job was cancelled without having been submitted. Older builds wrote none. */
    isUnsubmitted: z.boolean().optional(),
});
export type Ended = z.infer<typeof Ended>;

/** Changes of one commit. */
export const Segment = z.object({
    sequence: z.int(),
    accepted: z.array(Accepted),
    /** Jobs whose first task has started. */
    begun: z.array(z.string()),
    /** Keys of tasks that are done. */
    done: z.array(z.string()),
    /** Tasks of a large step that are done: job, occurrence, step, and their indexes as of `createIndexSet`. Older builds wrote none. */
    doneSets: z.array(z.tuple([z.string(), z.int(), z.int(), z.string()])).default([]),
    /** Failed attempts: task key and attempt number. */
    failed: z.array(z.tuple([z.string(), z.int()])),
    /** Attempts suspected of a crash of their worker: task key and attempt number. Older builds wrote none. */
    crashed: z.array(z.tuple([z.string(), z.int()])).default([]),
    /** Attempts that were started shortly before many workers crashed together. Older builds wrote none. */
    doubted: z.array(z.tuple([z.string(), z.int()])).default([]),
    /** Latest checkpoints: task key and checkpoint. */
    checkpoints: z.array(z.tuple([z.string(), z.string()])),
    ended: z.array(Ended),
    /** Ended jobs that were removed. */
    forgotten: z.array(z.string()),
    /** Workers that may run attempts from now on. */
    workersUsed: z.array(z.string()),
    /** Lives of workers: worker, incarnation, and the lease as of `WorkerLife`. Older builds wrote none. */
    lives: z.array(z.tuple([z.string(), z.number(), z.number()])).default([]),
    /** Workers on which no attempt runs any more. */
    workersLeft: z.array(z.string()),
});
export type Segment = z.infer<typeof Segment>;

/** Changes that have not been committed yet. */
export type Changes = { -readonly [Key in Exclude<keyof Segment, "sequence">]: Segment[Key]; };

/** Creates an empty set of changes. */
export function createChanges(): Changes {
    return {
        accepted: [],
        begun: [],
        done: [],
        doneSets: [],
        failed: [],
        crashed: [],
        doubted: [],
        checkpoints: [],
        ended: [],
        forgotten: [],
        workersUsed: [],
        lives: [],
        workersLeft: [],
    };
}

/** Whether there is nothing to commit. */
export function isEmpty(changes: Changes): boolean {
    return Object.values(changes).every(list => list.length === 0);
}

/** Lists in replay order: jobs come before the changes to them. */
const REPLAY_ORDER = [
    "accepted",
    "begun",
    "done",
    "doneSets",
    "failed",
    "crashed",
    "doubted",
    "checkpoints",
    "ended",
    "forgotten",
    "workersUsed",
    "lives",
    "workersLeft",
] as const;

/** Splits changes into parts whose JSON fits the limit. Replaying the parts in order gives the same result. */
export function splitChanges(changes: Changes, limitBytes: number): Changes[] {
    const parts: Changes[] = [];
    let part = createChanges();
    let bytes = 0;
    const capacityBytes = limitBytes - JSON.stringify(part).length;
    for (const name of REPLAY_ORDER) {
        for (const change of changes[name]) {
            const length = JSON.stringify(change).length + 1;
            if (bytes > 0 && bytes + length > capacityBytes) {
                parts.push(part);
                part = createChanges();
                bytes = 0;
            }
            (part[name] as unknown[]).push(change);
            bytes += length;
        }
    }
    return [...parts, part];
}
