/**
 * Interface to the source of the operators' closures: data centres in which nothing may be started until they are reopened.
 */
import type { Result } from "true-myth/result";
import type { Failure } from "../../core/errors.js";

/** Source of the closed data centres. */
export interface ClosureSource {
    /** Data centres that are closed, as far as this instance knows. */
    closed(): ReadonlySet<string>;
    /**
     * When the last read was sent that has been answered, in the clock's milliseconds; -Infinity before the first. A closure that the source
     * confirmed before that time is known.
     */
    confirmedAtMilliseconds(): number;
    /** Reads all closures anew. */
    refresh(): Promise<Result<void, Failure>>;
    /** Calls the listener after each change. Returns a function that removes the listener. */
    onChange(listener: () => void): () => void;
}
