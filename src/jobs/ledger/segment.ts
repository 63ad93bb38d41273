/**
 * Changes of a cell's jobs as they are written to the store; a snapshot has the same shape.
 */
import * as z from "zod";
import { JobState, Submission } from "../model/job.js";

const Accepted = z.object({
    id: z.string(),
    queue: z.string(),
    submission: Submission,
    acceptedAtMilliseconds: z.number(),
});

const Ended = z.object({ id: z.string(), queue: z.string(), state: JobState, endedAtMilliseconds: z.number() });

/** Changes of one commit. */
export const Segment = z.object({
    sequence: z.int(),
    accepted: z.array(Accepted),
    /** Jobs of which a first task has started. */
    begun: z.array(z.string()),
    /** Names of tasks that are done. */
    done: z.array(z.string()),
    /** Attempts that failed: task and number. */
    failed: z.array(z.tuple([z.string(), z.int()])),
    /** Newest checkpoints: task and checkpoint. */
    checkpoints: z.array(z.tuple([z.string(), z.string()])),
    ended: z.array(Ended),
    /** Ended jobs that are no longer kept. */
    forgotten: z.array(z.string()),
    /** Workers that may run attempts from now on. */
    workersUsed: z.array(z.string()),
    /** Workers on which certainly nothing runs any more. */
    workersLeft: z.array(z.string()),
});
export type Segment = z.infer<typeof Segment>;

/** Changes that have not been committed yet. */
export type Changes = { -readonly [Key in Exclude<keyof Segment, "sequence">]: Segment[Key]; };

/** No changes. */
export function createChanges(): Changes {
    return {
        accepted: [],
        begun: [],
        done: [],
        failed: [],
        checkpoints: [],
        ended: [],
        forgotten: [],
        workersUsed: [],
        workersLeft: [],
    };
}

/** Whether there is nothing to commit. */
export function isEmpty(changes: Changes): boolean {
    return Object.values(changes).every(list => list.length === 0);
}

/** In the order in which changes are played: jobs come before what happened to them. */
const REPLAY_ORDER = [
    "accepted",
    "begun",
    "done",
    "failed",
    "checkpoints",
    "ended",
    "forgotten",
    "workersUsed",
    "workersLeft",
] as const;

/** Splits changes into parts whose JSON fits into one value each; played one after the other they are the whole. */
export function splitChanges(changes: Changes, limitBytes: number): Changes[] {
    if (JSON.stringify(changes).length <= limitBytes) {
        return [changes];
    }
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
