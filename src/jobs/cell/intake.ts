/**
 * Callers' jobs on their way into the ledger.
 */
import { Result } from "true-myth/result";
import { createFailure } from "../../core/errors.js";
import type { Failure } from "../../core/errors.js";
import type { EventLog } from "../../core/event-log.js";
import type { Clock } from "../../core/time.js";
import type { Board } from "../board/board.js";
import { acceptJob, cancelJob, withdrawJob } from "../board/intake.js";
import { FINAL_STATES } from "../model/job.js";
import type { JobReference, StateAnswer, SubmitAnswer, SubmitRequest } from "../model/requests.js";
import type { Commits } from "./commits.js";

/** Submissions are refused once the store has taken no commit for this long; a lost answer is settled faster. */
const REFUSE_AFTER_MILLISECONDS = 400;

/** When a caller may try again whose job could not be stored: outages last some seconds. */
const RETRY_MILLISECONDS = 1_000;

const REASON = "jobs cannot be stored now";

/** What the intake needs. */
export interface IntakeOptions {
    readonly board: Board;
    readonly clock: Clock;
    readonly log: EventLog;
    readonly epoch: number;
    commits(): Commits;
    /** Something may have to be stopped. */
    wakeDispatch(): void;
}

/** Takes in what callers ask for; answers follow the commit. */
export interface Intake {
    submit(request: SubmitRequest): Promise<Result<SubmitAnswer, Failure>>;
    state(reference: JobReference): Promise<Result<StateAnswer, Failure>>;
    cancel(reference: JobReference): Promise<Result<StateAnswer, Failure>>;
    /** The store has taken no commit for so long: what has not been handed to it is refused. */
    noteFailing(milliseconds: number): void;
}

/** Creates the intake of a cell. */
export function createIntake(options: IntakeOptions): Intake {
    const { board, clock, epoch, log } = options;
    /** Refuses submissions that wait to be committed. */
    const waiting = new Map<string, (failingMilliseconds: number) => void>();

    const refuse = ({ id, queue }: SubmitRequest, failingMilliseconds: number): SubmitAnswer => {
        log.write("job-refused", {
            job: id,
            queue,
            reason: REASON,
            failingMilliseconds: Math.round(failingMilliseconds),
            epoch,
        });
        return { kind: "refused", reason: REASON, retryAfterMilliseconds: RETRY_MILLISECONDS };
    };

    const committed = async (): Promise<Result<void, Failure>> => {
        const isCommitted = options.commits().settled();
        options.commits().request(true);
        return await isCommitted
            ? Result.ok(undefined)
            : Result.err(createFailure("ambiguous", "commit", "the cell has lost its owner meanwhile"));
    };

    /** A successor that this owner has not heard of may have taken the job in: only a commit shows that there is none. */
    const unknown = async (): Promise<Result<StateAnswer, Failure>> =>
        await options.commits().prove()
            ? Result.ok({})
            : Result.err(createFailure("ambiguous", "commit", "the cell may have another owner that knows the job"));

    return {
        async submit(request) {
            const { id, queue, submission } = request;
            const now = clock();
            const known = board.jobs.get(id);
            if (known?.isCommitted === true) {
                return Result.ok({ kind: "accepted", isNew: false });
            }
            const failingMilliseconds = now - (options.commits().failingSinceMilliseconds(now) ?? now);
            if (known === undefined && failingMilliseconds > REFUSE_AFTER_MILLISECONDS) {
                return Result.ok(refuse(request, failingMilliseconds));
            }
            acceptJob(board, { id, queue, submission, acceptedAtMilliseconds: now });
            const withdrawn = new Promise<Result<SubmitAnswer, Failure>>(resolve => {
                waiting.set(id, failing => resolve(Result.ok(refuse(request, failing))));
            });
            const stored = committed()
                .then(outcome => outcome.map((): SubmitAnswer => ({ kind: "accepted", isNew: known === undefined })));
            const answer = await Promise.race([stored, withdrawn]);
            waiting.delete(id);
            return answer;
        },
        async state({ id }) {
            const entry = board.jobs.get(id);
            return entry?.isCommitted === true ? Result.ok({ state: entry.shownState }) : unknown();
        },
        async cancel({ id }) {
            const entry = board.jobs.get(id);
            if (entry === undefined) {
                return unknown();
            }
            cancelJob(board, id, clock());
            options.wakeDispatch();
            // A job that had ended is answered as it ended.
            const outcome = FINAL_STATES.has(entry.shownState)
                ? Result.ok<void, Failure>(undefined)
                : await committed();
            return outcome.map(() => ({ state: entry.shownState }));
        },
        noteFailing(milliseconds) {
            if (milliseconds < REFUSE_AFTER_MILLISECONDS) {
                return;
            }
            for (const [id, answer] of [...waiting]) {
                if (withdrawJob(board, id)) {
                    answer(milliseconds);
                }
            }
        },
    };
}
