/**
 * A wait that another task can end early.
 */
import { pause } from "../core/time.js";

/** Lets one task wait until there is something to do. */
export interface Wake {
    /** Ends the present wait, or the next one where nobody waits now. */
    wake(): void;
    /** Waits until woken, for the given time at most, or until the signal is aborted. */
    wait(milliseconds: number, signal: AbortSignal): Promise<void>;
}

/** Creates a wait for one task. */
export function createWake(): Wake {
    let due = false;
    let controller = new AbortController();
    return {
        wake() {
            due = true;
            controller.abort();
        },
        async wait(milliseconds, signal) {
            if (!due && !signal.aborted) {
                controller = new AbortController();
                const abort = () => controller.abort();
                signal.addEventListener("abort", abort, { once: true });
                await pause(Math.max(0, milliseconds), controller.signal);
                signal.removeEventListener("abort", abort);
            }
            due = false;
        },
    };
}
