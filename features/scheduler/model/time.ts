/**
 * Virtual time: the test advances timers, so that the same seed gives the same order of events.
 */
import { defaultMaxListeners, setMaxListeners } from "node:events";
import { syncBuiltinESMExports } from "node:module";
import { mock } from "node:test";

const START_MILLISECONDS = 1_800_000_000_000;
const STEP_MILLISECONDS = 25;
/** Turns of the event loop after each step, for all due work to complete. */
const TURNS_PER_STEP = 3;

/** Virtual time of one run. */
export interface VirtualTime {
    readonly now: () => number;
    /** Advances time in small steps and calls `onStep` in each. */
    advance(milliseconds: number): Promise<void>;
    /** Restores real time. */
    end(): void;
}

/** Replaces the timers of this process until `end` is called. */
export function startVirtualTime(onStep: (now: number) => void): VirtualTime {
    let now = START_MILLISECONDS;
    const listenersAtMost = defaultMaxListeners;
    mock.timers.enable({ apis: ["setTimeout"] });
    // A mocked timer keeps its listener on the signal after it has ended, which Node.js would report as a leak.
    setMaxListeners(0);
    // Updates the named imports of the replaced functions.
    syncBuiltinESMExports();
    return {
        now: () => now,
        async advance(milliseconds) {
            for (let passed = 0; passed < milliseconds; passed += STEP_MILLISECONDS) {
                now += STEP_MILLISECONDS;
                onStep(now);
                mock.timers.tick(STEP_MILLISECONDS);
                for (let turn = 0; turn < TURNS_PER_STEP; turn += 1) {
                    await new Promise(resolve => setImmediate(resolve));
                }
            }
        },
        end() {
            mock.timers.reset();
            setMaxListeners(listenersAtMost);
            syncBuiltinESMExports();
        },
    };
}
