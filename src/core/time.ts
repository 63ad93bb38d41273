/**
 * Clocks and waits. Functions that decide take the present time as an argument; only tasks read a clock.
 */
import { setTimeout as delay } from "node:timers/promises";

/** Tells the present time in milliseconds since the Unix epoch. */
export type Clock = () => number;

export const MILLISECONDS_PER_SECOND = 1_000;
export const MILLISECONDS_PER_MINUTE = 60_000;
export const MILLISECONDS_PER_HOUR = 3_600_000;
export const MILLISECONDS_PER_DAY = 86_400_000;

/** A clock that does not go back when the operating system's clock is set. */
export const systemClock: Clock = () => performance.timeOrigin + performance.now();

/** Waits, or returns early when the signal is aborted. */
export async function pause(milliseconds: number, signal?: AbortSignal): Promise<void> {
    try {
        await delay(milliseconds, undefined, signal === undefined ? {} : { signal });
    }
    catch {
        // An abort ends the wait early; callers look at the signal themselves.
    }
}

/** Whether a signal has been aborted; a call, so that the compiler does not take an earlier answer for the present one. */
export function isAborted(signal: AbortSignal): boolean {
    return signal.aborted;
}

/** Creates a signal that aborts after a time; unlike the platform's own function it takes fractions and times past. */
export function createTimeout(milliseconds: number): AbortSignal {
    return AbortSignal.timeout(Math.max(1, Math.ceil(milliseconds)));
}

/** Creates a signal that aborts with another one, and after a time at the latest. */
export function limitSignal(signal: AbortSignal, milliseconds: number): AbortSignal {
    const timeout = createTimeout(milliseconds);
    // Node.js 20 collects a timeout that only a combined signal refers to, and it never fires; a listener keeps it.
    timeout.addEventListener("abort", () => undefined, { once: true });
    return AbortSignal.any([signal, timeout]);
}
