/**
 * Pauses and ends the calls of one process: a paused process continues a call when it resumes, a dead one never does.
 */

/** Gate that each call of a process passes before it takes effect, and again before its answer is returned. */
export interface Gate {
    pass(): Promise<void>;
    isAlive(): boolean;
    pause(): void;
    resume(): void;
    kill(): void;
}

/** Creates the gate of a process that runs. */
export function createGate(): Gate {
    let state: "alive" | "paused" | "dead" = "alive";
    let waiting: (() => void)[] = [];
    return {
        pass() {
            return state === "alive" ? Promise.resolve() : new Promise(resolve => waiting.push(resolve));
        },
        isAlive: () => state === "alive",
        pause() {
            state = state === "alive" ? "paused" : state;
        },
        resume() {
            if (state === "paused") {
                state = "alive";
                waiting.forEach(resolve => resolve());
                waiting = [];
            }
        },
        kill() {
            state = "dead";
            waiting = [];
        },
    };
}
