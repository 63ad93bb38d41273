/**
 * Parts: what the wiring joins into a process.
 */
import type { MethodHandler } from "./method.js";

/** A part of a process: methods that it serves, and the work that it does by itself. */
export interface Part {
    readonly handlers: readonly MethodHandler[];
    /** Runs until the signal is aborted; does not reject. */
    run(signal: AbortSignal): Promise<void>;
}
