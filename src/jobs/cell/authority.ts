/**
 * How long an owner may send orders, and what its successor can rely on.
 *
 * A worker that has answered a newer epoch refuses the orders of older ones. An owner that most workers still answer has
 * therefore no successor that most workers have answered. Without them, only a commit proves that there is no successor.
 */

/** What shows an owner that it still owns its cell. */
export interface OwnershipEvidence {
    /** When the last successful commit was sent; no other instance had claimed the cell before that. */
    readonly committedAtMilliseconds: number;
    /** When the last call was sent that the store has answered. */
    readonly confirmedAtMilliseconds: number;
    /** For each worker in use, when the last order was sent that it has answered; -Infinity if there is none. */
    readonly answersAtMilliseconds: Iterable<number>;
}

/** Limits on the age of evidence, in milliseconds. */
export interface OwnershipLimits {
    readonly contactMilliseconds: number;
    readonly horizonMilliseconds: number;
}

/** Share of the workers in use that have to answer a successor before it relies on them. */
const SUCCESSOR_SHARE = 2 / 3;

/** Whether an owner may send orders. */
export function maySendOrders(evidence: OwnershipEvidence, limits: OwnershipLimits, now: number): boolean {
    return isOwnershipProven(evidence, limits, now)
        || now - evidence.confirmedAtMilliseconds < limits.horizonMilliseconds
            && doMostAnswer(evidence.answersAtMilliseconds, now - limits.contactMilliseconds);
}

/** Whether a recent commit has proven that the cell has no other owner. */
export function isOwnershipProven(
    { committedAtMilliseconds }: Pick<OwnershipEvidence, "committedAtMilliseconds">,
    { contactMilliseconds }: Pick<OwnershipLimits, "contactMilliseconds">,
    now: number,
): boolean {
    return now - committedAtMilliseconds < contactMilliseconds;
}

/** Summarises evidence for the log. */
export function summarizeEvidence(evidence: OwnershipEvidence, { contactMilliseconds }: OwnershipLimits, now: number) {
    const answers = [...evidence.answersAtMilliseconds];
    return {
        workersInUse: answers.length,
        answeringWorkers: answers.filter(at => at > now - contactMilliseconds).length,
        committedMillisecondsAgo: Math.round(now - evidence.committedAtMilliseconds),
        confirmedMillisecondsAgo: Math.round(now - evidence.confirmedAtMilliseconds),
    };
}

function doMostAnswer(answersAtMilliseconds: Iterable<number>, since: number): boolean {
    const answers = [...answersAtMilliseconds];
    return answers.filter(at => at > since).length > answers.length / 2;
}

/**
 * Whether so many workers have answered a successor that its predecessor stops when its evidence expires. The share is above
 * half, because the two may differ in which workers are in use by the changes of a commit.
 */
export function haveEnoughAnswered(answered: number, workers: number): boolean {
    return answered >= workers * SUCCESSOR_SHARE;
}
