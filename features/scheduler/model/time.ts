/**
 * Virtual time: waits end when the test says so, and the same seed gives the same order of events.
 */
import { defaultMaxListeners, setMaxListeners } from "node:events";
import { syncBuiltinESMExports } from "node:module";
import { mock } from "node:test";

const START_MILLISECONDS = 1_800_000_000_000;
const STEP_MILLISECONDS = 25;
/** Turns of the event loop in which everything that is due gets done. */
const TURNS_PER_STEP = 3;

/** Virtual time of one run. */
export interface VirtualTime {
    readonly now: () => number;
    /** Lets time pass in small steps; `onStep` runs in each. */
    advance(milliseconds: number): Promise<void>;
    /** Gives real time back. */
    end(): void;
}

/** Takes over all waits of this process until the end. */
export function startVirtualTime(onStep: (now: number) => void): VirtualTime {
    let now = START_MILLISECONDS;
    const listenersAtMost = defaultMaxListeners;
    mock.timers.enable({ apis: ["setTimeout"] });
    // A mocked wait keeps its listener on the signal after it has ended, so that their number is no sign of a leak.
    setMaxListeners(0);
    // Modules that imported the wait by name see the replaced one after this.
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
