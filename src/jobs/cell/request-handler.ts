/**
 * Handles callers' requests to submit, show and cancel jobs.
 */
import { Result } from "true-myth/result";
import { createFailure } from "../../core/errors.js";
import type { Failure } from "../../core/errors.js";
import type { EventLog } from "../../core/event-log.js";
import type { Clock } from "../../core/time.js";
import { estimateFootprint } from "../job-table/footprint.js";
import { hasRoomFor } from "../job-table/held-jobs.js";
import type { JobTable } from "../job-table/job-table.js";
import { acceptJob, cancelJob, recordCancelling, withdrawJob } from "../job-table/lifecycle.js";
import { isStorable } from "../ledger/ledger.js";
import { FINAL_STATES } from "../model/job.js";
import { UNSTORABLE } from "../model/requests.js";
import type { JobReference, Refusal, StateAnswer, SubmitAnswer, SubmitRequest } from "../model/requests.js";
import type { Commits } from "./commits.js";

/** Submissions are refused after commits have failed for this long; a lost answer is resolved faster. */
const REFUSE_AFTER_MILLISECONDS = 400;

/** Retry delay for a caller whose job could not be stored; outages last some seconds. */
const RETRY_AFTER_MILLISECONDS = 1_000;

/** Retry delay for a caller whose job there is no memory for; jobs take seconds to end. */
const FULL_RETRY_AFTER_MILLISECONDS = 5_000;

const REFUSAL_REASON = "jobs cannot be stored now";

/** Options of the request handler. */
export interface RequestHandlerOptions {
    readonly jobTable: JobTable;
    readonly clock: Clock;
    readonly log: EventLog;
    readonly epoch: number;
    commits(): Commits;
    /** Runs the dispatcher soon, because attempts may have to be stopped. */
    requestDispatch(): void;
}

/** Handles callers' requests; changes are answered after their commit. */
export interface RequestHandler {
    submit(request: SubmitRequest): Promise<Result<SubmitAnswer, Failure>>;
    state(reference: JobReference): Promise<Result<StateAnswer, Failure>>;
    cancel(reference: JobReference): Promise<Result<StateAnswer, Failure>>;
    /** Refuses submissions that are not part of a commit yet, after commits have failed for this long. */
    refuseUncommitted(milliseconds: number): void;
}

/** Creates the request handler of a cell. */
export function createRequestHandler(options: RequestHandlerOptions): RequestHandler {
    const { jobTable, clock, epoch, log } = options;
    /** Functions that refuse submissions which wait for a commit, by job; a job may be submitted again meanwhile. */
    const refusals = new Map<string, Set<(failingMilliseconds: number) => void>>();

    const refuse = ({ id, queue }: SubmitRequest, failingMilliseconds: number): SubmitAnswer => {
        log.write("job-refused", {
            job: id,
            queue,
            reason: REFUSAL_REASON,
            failingMilliseconds: Math.round(failingMilliseconds),
            epoch,
        });
        return { kind: "refused", reason: REFUSAL_REASON, retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS };
    };

    const commitChanges = async (): Promise<Result<void, Failure>> => {
        const isCommitted = options.commits().whenCommitted();
        options.commits().requestCommit(true);
        return await isCommitted
            ? Result.ok(undefined)
            : Result.err(createFailure("ambiguous", "commit", "the cell has lost its owner meanwhile"));
    };

    /** A successor unknown to this owner may have accepted the job; only a successful commit rules that out. */
    const answerUnknownJob = async (): Promise<Result<StateAnswer, Failure>> =>
        await options.commits().confirmOwnership()
            ? Result.ok({})
            : Result.err(createFailure("ambiguous", "commit", "the cell may have another owner that knows the job"));

    return {
        async submit(request) {
            const { id, queue, submission } = request;
            const now = clock();
            const existing = jobTable.jobs.get(id);
            if (existing?.isCommitted === true) {
                return Result.ok({ kind: "accepted", isNew: false });
            }
            const failingMilliseconds = now - (options.commits().failingSinceMilliseconds(now) ?? now);
            const isUnknown = existing === undefined || existing.isUnsubmitted;
            if (isUnknown && failingMilliseconds > REFUSE_AFTER_MILLISECONDS) {
                return Result.ok(refuse(request, failingMilliseconds));
            }
            const lack = isUnknown ? findLack(jobTable, request) : undefined;
            if (lack !== undefined) {
                const { heldBytes, heldBytesLimit } = jobTable;
                const { reason } = lack;
                log.write("job-refused", { job: id, queue, reason, heldBytes, heldBytesLimit, epoch });
                return Result.ok({ kind: "refused", ...lack });
            }
            if (existing?.isUnsubmitted === true) {
                log.write("submission-after-cancel", { job: id, queue, epoch });
            }
            acceptJob(jobTable, { id, queue, submission, acceptedAtMilliseconds: now });
            const waiting = refusals.get(id) ?? new Set();
            refusals.set(id, waiting);
            let answerRefusal: (failingMilliseconds: number) => void = () => undefined;
            const withdrawn = new Promise<Result<SubmitAnswer, Failure>>(resolve => {
                answerRefusal = failing => resolve(Result.ok(refuse(request, failing)));
            });
            waiting.add(answerRefusal);
            const stored = commitChanges()
                .then(outcome => outcome.map((): SubmitAnswer => ({ kind: "accepted", isNew: isUnknown })));
            const answer = await Promise.race([stored, withdrawn]);
            waiting.delete(answerRefusal);
            if (waiting.size === 0 && refusals.get(id) === waiting) {
                refusals.delete(id);
            }
            return answer;
        },
        async state({ id }) {
            const entry = jobTable.jobs.get(id);
            return entry?.isCommitted === true ? Result.ok({ state: entry.reportedState }) : answerUnknownJob();
        },
        async cancel(reference) {
            const { id } = reference;
            const entry = jobTable.jobs.get(id);
            log.write("cancel-requested", { job: id, state: entry?.state, isKnown: entry !== undefined, epoch });
            if (entry === undefined && jobTable.heldBytes >= jobTable.heldBytesLimit) {
                return Result.err(createFailure("unavailable", "cancel", "the cell holds as many jobs as it can"));
            }
            if (entry === undefined) {
                recordCancelling(jobTable, reference, clock());
            }
            if (entry === undefined || entry.isUnsubmitted) {
                return answerUnknownJob();
            }
            cancelJob(jobTable, id, clock());
            options.requestDispatch();
            // For a job that had already ended, the answer is its final state.
            const outcome = FINAL_STATES.has(entry.reportedState)
                ? Result.ok<void, Failure>(undefined)
                : await commitChanges();
            // The submission may have been refused meanwhile.
            return outcome.map(() => entry.isUnsubmitted ? {} : { state: entry.reportedState });
        },
        refuseUncommitted(milliseconds) {
            if (milliseconds < REFUSE_AFTER_MILLISECONDS) {
                return;
            }
            for (const [id, waiting] of [...refusals]) {
                if (withdrawJob(jobTable, id)) {
                    refusals.delete(id);
                    waiting.forEach(answer => answer(milliseconds));
                }
            }
        },
    };
}

/** Why an owner cannot hold a job, besides those that it holds; absent if it can. */
function findLack(
    jobTable: JobTable,
    { submission }: SubmitRequest,
): Omit<Refusal, "kind"> | undefined {
    if (!isStorable(submission)) {
        return UNSTORABLE;
    }
    if (hasRoomFor(jobTable, submission)) {
        return undefined;
    }
    const { definitionBytes, progressBytes } = estimateFootprint(submission);
    return definitionBytes + progressBytes > jobTable.heldBytesLimit
        ? {
            reason: "the job needs more memory than a cell has",
            retryAfterMilliseconds: UNSTORABLE.retryAfterMilliseconds,
        }
        : { reason: "there is no memory for another job now", retryAfterMilliseconds: FULL_RETRY_AFTER_MILLISECONDS };
}
