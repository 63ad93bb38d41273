/**
 * Exit codes of the client.
 */

/** What each exit code says. */
export const exitCodes = {
    done: 0,
    /** The gateway or the store did not answer, or answered with a failure; nothing was changed. */
    failed: 1,
    /** The command line or the client's settings are wrong. */
    usage: 2,
    /** The rules file has errors; nothing was changed. */
    rejected: 3,
    /** Someone else has changed the rules since; nothing was changed. */
    conflict: 4,
    /** No answer came to a change: it may have taken effect. */
    unknown: 5,
    /** Some processes did not answer, or a change is not in force everywhere yet. */
    partial: 6,
    notFound: 7,
    /** The command changes things and was given without `--yes`. */
    unconfirmed: 8,
} as const;
export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];
