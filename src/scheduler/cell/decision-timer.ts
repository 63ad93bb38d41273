/**
 * How often the owner of a cell plans and decides: at once after a change, seldom while nothing changes, and least often
 * while no task waits for a place and no worker is silent either.
 */

const WAITING_INTERVAL_MILLISECONDS = 1_000;
const IDLE_INTERVAL_MILLISECONDS = 3_000;

/** What a round has seen. */
export interface RoundState {
    readonly now: number;
    /** Something was observed or asked for. */
    readonly isBusy: boolean;
    /** Version of the rules and assignments. */
    readonly version: string;
}

/** Pace of one cell. */
export interface DecisionTimer {
    /** Tells whether this round plans and decides. */
    isDue(state: RoundState): boolean;
    /** Makes the next round plan and decide. */
    requestDecision(): void;
    /** Notes that a round has decided, and whether tasks wait for a place or a worker is silent. */
    recordDecision(hasWaiting: boolean, now: number): void;
}

/** Creates the pace of a cell; its first round is due. */
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
