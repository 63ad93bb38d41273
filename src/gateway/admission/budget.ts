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
    take(): boolean;
}

/** Creates a full budget. */
export function createRetryBudget(options: BudgetOptions): RetryBudget {
    let left = options.retryReserve;
    return {
        observeSuccess() {
            left = Math.min(options.retryReserve, left + options.retryShare);
        },
        take() {
            if (left < 1) {
                return false;
            }
            left -= 1;
            return true;
        },
    };
}
