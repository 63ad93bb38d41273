/**
 * Retry budget of one service: retries as a share of successes.
 */

/** Options of the budget. */
export interface BudgetOptions {
    readonly retryShare: number;
    readonly retryReserve: number;
}

/** A budget that successes fill and retries draw on. */
export interface RetryBudget {
    observeSuccess(): void;
    /** Takes one retry, or tells that none is left. */
    tryAcquire(): boolean;
}

/** Creates a full budget. */
export function createRetryBudget(options: BudgetOptions): RetryBudget {
    let availableRetries = options.retryReserve;
    return {
        observeSuccess() {
            availableRetries = Math.min(options.retryReserve, availableRetries + options.retryShare);
        },
        tryAcquire() {
            if (availableRetries < 1) {
                return false;
            }
            availableRetries -= 1;
            return true;
        },
    };
}
