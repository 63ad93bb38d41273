/**
 * Settings of the jobs daemon, with their defaults.
 */
import * as z from "zod";

const Milliseconds = z.number().min(0);

/** Times and limits by which cells run. All times are in milliseconds. */
export const CellSettings = z.object({
    /** How long a worker may go on without hearing from its owner: long enough for a takeover, see decision 0600. */
    leaseMilliseconds: Milliseconds.default(4_500),
    /** How long a worker's answer may wait for an end; the longest that passes before the lease is prolonged. */
    holdWaitMilliseconds: Milliseconds.default(1_000),
    /** Time between two reports of a worker, so that ends that come together are told together. */
    holdGapMilliseconds: Milliseconds.default(25),
    /** An order without an answer for this long is taken as lost; a worker answers within a few milliseconds. */
    orderTimeoutMilliseconds: Milliseconds.default(500),
    /** Wait before an order is repeated that got no answer. */
    orderRetryMilliseconds: Milliseconds.default(100),
    /** Wait between commits that somebody waits for; bounds writes to the store at 50 a second. */
    urgentCommitMilliseconds: Milliseconds.default(15),
    /** Wait between commits that no caller waits for; a worker tells nothing new before its ends are committed. */
    lazyCommitMilliseconds: Milliseconds.default(60),
    /** Wait after a commit that the store did not take. */
    commitRetryMilliseconds: Milliseconds.default(100),
    /** How long an owner goes on giving orders although the store does not confirm that the cell is its own. */
    horizonMilliseconds: Milliseconds.default(12_000),
    /** How long ended jobs are kept, so that callers can be told how they ended. */
    keepEndedMilliseconds: Milliseconds.default(120_000),
    /** How long a stop may take on a worker. */
    stopLimitMilliseconds: Milliseconds.default(1_000),
    /** How long a worker that is missing from the list is used on, because the list itself may have been away. */
    unlistedGraceMilliseconds: Milliseconds.default(2_500),
});
export type CellSettings = z.infer<typeof CellSettings>;

/** Times by which instances agree on who owns a cell. All times are in milliseconds. */
export const OwnershipSettings = z.object({
    /** Life of the record that names a cell's owner; a silent owner is replaced after this at the earliest. */
    ownerLeaseMilliseconds: Milliseconds.default(1_500),
    /** Time between renewals of that record. */
    renewMilliseconds: Milliseconds.default(400),
    /** Life of the record that names a member. */
    memberLeaseMilliseconds: Milliseconds.default(10_000),
    /** How long a cell without an owner waits for the first candidate, so that a living owner can claim it again. */
    vacancyMilliseconds: Milliseconds.default(250),
    /** By how much each further candidate waits longer; covers a claim and its news. */
    candidateStepMilliseconds: Milliseconds.default(350),
    /** Time between two looks at who owns what. */
    lookMilliseconds: Milliseconds.default(200),
    /** An owner that could not commit for this long is replaced by an instance that can. */
    troubleMilliseconds: Milliseconds.default(700),
    /** An owner to which less than half of the members are connected for this long gives its cell up. */
    isolationMilliseconds: Milliseconds.default(1_500),
});
export type OwnershipSettings = z.infer<typeof OwnershipSettings>;

/** Limits on callers' requests. */
export const RequestSettings = z.object({
    /** Time that a caller gets who names no deadline of its own; the platform's callers wait three seconds. */
    defaultDeadlineMilliseconds: Milliseconds.default(3_000),
    /** Taken off a caller's deadline for the way back. */
    answerMarginMilliseconds: Milliseconds.default(60),
    /** Largest body of a request. */
    bodyLimitBytes: z.int().default(262_144),
});
export type RequestSettings = z.infer<typeof RequestSettings>;

/** Settings of the jobs daemon. */
export const JobsSettings = z.object({
    instance: z.string().min(1),
    dataCentre: z.string().min(1),
    /** Share of a processor; candidates with more go first. */
    processorShare: z.number().positive(),
    /** Where other instances connect. */
    links: z.object({ host: z.string(), port: z.int() }),
    cell: CellSettings.prefault({}),
    ownership: OwnershipSettings.prefault({}),
    front: RequestSettings.prefault({}),
});
export type JobsSettings = z.infer<typeof JobsSettings>;
