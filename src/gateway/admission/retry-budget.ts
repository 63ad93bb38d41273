/**
 * Retry budget of one service: limits retries to a share of its successful answers.
 */

/** Options of the budget. */
export interface BudgetOptions {
    readonly retryShare: number;
    readonly retryReserve: number;
}

/** Token bucket that successful answers fill and retries draw from. */
export interface RetryBudget {
    observeSuccess(): void;
    /** Uses up one retry; returns false where none is available. */
    tryAcquire(): boolean;
}

/** Creates a budget that holds `retryReserve` retries. */
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
