/**
 * Settings of the jobs daemon, with their defaults.
 */
import * as z from "zod";

const Milliseconds = z.number().min(0);

/** Times and limits of cells. All times are in milliseconds. */
export const CellSettings = z.object({
    /** How long a worker may run without contact to its owner; covers a takeover, see decision 0600. */
    leaseMilliseconds: Milliseconds.default(4_500),
    /**
     * Longest lease that a worker grants, whatever an order says. A worker that has started again, with a new clock, grants
     * it on an order with a time of its former clock.
     */
    workerLeaseLimitMilliseconds: Milliseconds.default(10_000),
    /** How long a worker may delay its report until an attempt ends; also the longest time between lease renewals. */
    holdWaitMilliseconds: Milliseconds.default(1_000),
    /** Time between two reports of a worker, so that attempts ending close together share a report. */
    holdGapMilliseconds: Milliseconds.default(25),
    /** Time limit for the answer to an order; a worker answers within a few milliseconds. */
    orderTimeoutMilliseconds: Milliseconds.default(500),
    /** Wait before an unanswered order is repeated. */
    orderRetryMilliseconds: Milliseconds.default(100),
    /** Wait between commits that a caller waits for; limits writes to the store to 50 a second. */
    urgentCommitMilliseconds: Milliseconds.default(15),
    /** Wait between commits without a waiting caller. A worker reports nothing new until its ends are committed. */
    lazyCommitMilliseconds: Milliseconds.default(60),
    /** Wait after a failed commit. */
    commitRetryMilliseconds: Milliseconds.default(100),
    /** How long an owner that most workers answer continues to send orders while the store does not answer it. */
    horizonMilliseconds: Milliseconds.default(12_000),
    /**
     * How long an owner continues to send orders after its last commit, or after most workers have last answered. An answer
     * takes up to half a second while the store is out of reach. All instances need the same value: successors rely on it.
     */
    contactMilliseconds: Milliseconds.default(1_800),
    /**
     * Memory that an owner's jobs may take, in bytes: half of the heap in `deploy/system.toml`. The other half is for requests, commits and
     * snapshots.
     */
    heldBytesLimit: z.int().min(0).default(100_000_000),
    /** How long ended jobs are kept, so that callers can query their final state. */
    keepEndedMilliseconds: Milliseconds.default(120_000),
    /** Longest time that a worker takes to stop an attempt. */
    stopLimitMilliseconds: Milliseconds.default(1_000),
    /**
     * Time from the closure of a data centre until no start may reach it; absent if data centres are never closed. Nothing is started while
     * the closures have not been confirmed for this long, less a margin.
     */
    closureLimitMilliseconds: z.number().positive().optional(),
    /** How long an unlisted worker stays in use, because the list itself may have been unavailable. */
    unlistedGraceMilliseconds: Milliseconds.default(2_500),
});
export type CellSettings = z.infer<typeof CellSettings>;

/** Times of the ownership protocol between instances. All times are in milliseconds. */
export const OwnershipSettings = z.object({
    /** Lease of the record that names a cell's owner; a silent owner is replaced after this at the earliest. */
    ownerLeaseMilliseconds: Milliseconds.default(1_500),
    /** Time between renewals of that record. */
    renewMilliseconds: Milliseconds.default(400),
    /** Lease of the record that names a member. */
    memberLeaseMilliseconds: Milliseconds.default(10_000),
    /** Wait of the first candidate before it claims a cell without an owner, so that a live owner can reclaim it. */
    vacancyMilliseconds: Milliseconds.default(250),
    /** Additional wait of each further candidate; covers a claim and the announcement of it. */
    candidateStepMilliseconds: Milliseconds.default(350),
    /** How long the record of a stopped owner is kept; longer than the horizon and the leases of workers together. */
    stopRecordMilliseconds: Milliseconds.default(60_000),
    /** Time between two checks of the cells' owners. */
    lookMilliseconds: Milliseconds.default(200),
    /** How long an owner may be unable to commit before an instance that can commit replaces it. */
    troubleMilliseconds: Milliseconds.default(700),
    /**
     * How long an owner may be connected to less than half of the members before it releases its cell, if more instances report that they
     * cannot reach it than are connected.
     */
    isolationMilliseconds: Milliseconds.default(1_500),
});
export type OwnershipSettings = z.infer<typeof OwnershipSettings>;

/** Limits on callers' requests. */
export const RequestSettings = z.object({
    /** Deadline of requests that name none; the platform's callers wait three seconds. */
    defaultDeadlineMilliseconds: Milliseconds.default(3_000),
    /** Subtracted from a caller's deadline to allow for sending the answer. */
    answerMarginMilliseconds: Milliseconds.default(60),
    /** Largest request body in bytes. */
    bodyLimitBytes: z.int().default(262_144),
});
export type RequestSettings = z.infer<typeof RequestSettings>;

/** Settings of the jobs daemon. */
export const JobsSettings = z.object({
    instance: z.string().min(1),
    dataCentre: z.string().min(1),
    /** Share of a processor; candidates with a larger share claim cells first. */
    processorShare: z.number().positive(),
    /** Address for connections from other instances. */
    links: z.object({ host: z.string(), port: z.int() }),
    cell: CellSettings.prefault({}),
    ownership: OwnershipSettings.prefault({}),
    front: RequestSettings.prefault({}),
});
export type JobsSettings = z.infer<typeof JobsSettings>;
