/**
 * Steps of a graceful stop, each logged with its time, so that a stop that is cut short shows what it waited for.
 */
import type { Logger } from "./log.js";

/** Takes the steps of one stop. */
export interface StopSteps {
    /** Waits for a step and logs its begin and its end. */
    take(step: string, work: Promise<void>): Promise<void>;
}

/** Creates the steps of a stop that begins now. */
export function createStopSteps(logger: Logger): StopSteps {
    const startedAt = performance.now();
    const elapsed = () => Math.round(performance.now() - startedAt);
    return {
        async take(step, work) {
            logger.info("stop step begun", { step, milliseconds: elapsed() });
            await work;
            logger.info("stop step ended", { step, milliseconds: elapsed() });
        },
    };
}
