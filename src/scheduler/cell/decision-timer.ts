/**
 * Decides which rounds of a cell plan and decide: at once after a change, every second while a task waits or a worker
 * is silent, and every three seconds otherwise.
 */

const WAITING_INTERVAL_MILLISECONDS = 1_000;
const IDLE_INTERVAL_MILLISECONDS = 3_000;

/** State of a round that determines whether it decides. */
export interface RoundState {
    readonly now: number;
    /** The ledger has changes that are not committed. */
    readonly isBusy: boolean;
    /** Version of the rules and assignments. */
    readonly version: string;
}

/** Decision timer of one cell. */
export interface DecisionTimer {
    /** Tells whether this round plans and decides. */
    isDue(state: RoundState): boolean;
    /** Makes the next round plan and decide. */
    requestDecision(): void;
    /** Records that a round has decided, and whether tasks wait for a worker or a worker is silent. */
    recordDecision(hasWaiting: boolean, now: number): void;
}

/** Creates the timer of a cell; its first round is due. */
export function createDecisionTimer(): DecisionTimer {
    let version = "";
    let nextAt = 0;
    return {
        isDue(state) {
            if (!state.isBusy && state.version === version && state.now < nextAt) {
                return false;
            }
            version = state.version;
            nextAt = state.now + WAITING_INTERVAL_MILLISECONDS;
            return true;
        },
        requestDecision() {
            nextAt = 0;
        },
        recordDecision(hasWaiting, now) {
            nextAt = now + (hasWaiting ? WAITING_INTERVAL_MILLISECONDS : IDLE_INTERVAL_MILLISECONDS);
        },
    };
}
