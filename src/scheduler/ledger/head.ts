/**
 * Keys and records of cells in the store.
 */
import * as z from "zod";
import { Name, Origin } from "../../core/messages/identity.js";
import { Admission, Drain, Task, TaskSpec } from "./task.js";

const ROOT = "scheduler/";
const SEQUENCE_DIGITS = 12;

/** Prefix of the liveness records of schedulers; each is bound to its scheduler's store lease. */
export const LIVE_PREFIX = `${ROOT}live/`;
/** Prefix of the claims, one for each cell. */
export const CLAIMS_PREFIX = `${ROOT}claims/`;
/** Prefix of the heads of all ledgers. */
export const HEADS_PREFIX = `${ROOT}heads/`;

/** Key of a scheduler's liveness record. */
export function keyOfLive(instance: string): string {
    return LIVE_PREFIX + instance;
}

/** Key of a cell's claim. */
export function keyOfClaim(cell: string): string {
    return CLAIMS_PREFIX + cell;
}

/** Key of the record that each commit to a cell's ledger compares and swaps. */
export function keyOfHead(cell: string): string {
    return HEADS_PREFIX + cell;
}

/** Prefix of the log segments of a ledger. */
export function segmentsPrefix(cell: string): string {
    return `${ROOT}ledgers/${cell}/segments/`;
}

/** Key of one log segment; keys sort by sequence. */
export function keyOfSegment(cell: string, sequence: number): string {
    return segmentsPrefix(cell) + String(sequence).padStart(SEQUENCE_DIGITS, "0");
}

/** Prefix of the chunks of one snapshot. */
export function snapshotPrefix(cell: string, sequence: number): string {
    return `${ROOT}ledgers/${cell}/snapshots/${String(sequence).padStart(SEQUENCE_DIGITS, "0")}/`;
}

/** Identifies one process of a scheduler. */
export const Holder = z.strictObject({ instance: Name, incarnation: z.string(), origin: Origin });
export type Holder = z.infer<typeof Holder>;

/** Liveness record of a scheduler. */
export const LiveScheduler = z.strictObject({ ...Holder.shape, dataCentre: Name });
export type LiveScheduler = z.infer<typeof LiveScheduler>;

/** Claim of a cell by its owner. */
export const Claim = z.strictObject({ cell: z.string(), epoch: z.int(), holder: Holder, released: z.boolean() });
export type Claim = z.infer<typeof Claim>;

/** Head of a ledger: compared and swapped by each commit, so that only one of two owners can commit. */
export const Head = z.strictObject({
    cell: z.string(),
    epoch: z.int().min(0),
    holder: Holder,
    released: z.boolean(),
    /** Time until which the holder may renew leases of workers without reaching the store. */
    horizonMilliseconds: z.number(),
    /** Number of the newest segment. */
    sequence: z.int().min(0),
    /** Number of the newest segment that the snapshot contains; 0 without a snapshot. */
    snapshotSequence: z.int().min(0),
    /** Chunks of the snapshot; later ones belong to an aborted compaction. */
    snapshotChunks: z.int().min(0),
    /** Time at which the last renewal by any predecessor ends, except predecessors proven to have ended earlier. */
    predecessorsEndMilliseconds: z.number(),
});
export type Head = z.infer<typeof Head>;

/** All transitions of one commit, or a part of a snapshot. */
export const Segment = z.strictObject({
    sequence: z.int(),
    epoch: z.int(),
    atMilliseconds: z.number(),
    /** Tasks as they are after the commit. */
    tasks: z.array(Task),
    /** Tasks that were removed from the ledger. */
    removed: z.array(z.string()),
    specs: z.array(TaskSpec),
    admissions: z.array(Admission),
    drains: z.array(Drain),
    drainsEnded: z.array(Name),
});
export type Segment = z.infer<typeof Segment>;
