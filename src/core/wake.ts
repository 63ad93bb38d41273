/**
 * A wait that another task can end early.
 */

/** Lets one task wait until there is something to do. */
export interface Wake {
    /** Ends the present wait, or the next one where nobody waits now. */
    wake(): void;
    /** Waits until woken, for the given time at most, or until the signal is aborted. */
    wait(milliseconds: number, signal?: AbortSignal): Promise<void>;
}

/** Creates a wait for one task. An aborted signal would do too, but each costs as much as a small request. */
export function createWake(): Wake {
    let isDue = false;
    let end: () => void = () => undefined;
    return {
        wake() {
            isDue = true;
            end();
        },
        async wait(milliseconds, signal) {
            if (!isDue && signal?.aborted !== true) {
                await new Promise<void>(resolve => {
                    const timer = setTimeout(resolve, Math.max(0, milliseconds));
                    end = () => {
                        clearTimeout(timer);
                        resolve();
                    };
                    signal?.addEventListener("abort", end, { once: true });
                });
                signal?.removeEventListener("abort", end);
                end = () => undefined;
            }
            isDue = false;
        },
    };
}
