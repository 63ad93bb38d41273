/**
 * Frame of a case: opens the record, runs the case and exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
 */
import { createRecorder } from "./record.js";
import type { Recorder } from "./record.js";

/** Outcome of a case. */
export interface Outcome {
    readonly isBroken: boolean;
    /** Whether the case took place as planned, so that its result says something. */
    readonly isShown: boolean;
    readonly summary: object;
}

const EXIT_HELD = 0;
const EXIT_BROKEN = 1;
const EXIT_NOT_RUN = 2;

/** Runs a case with the record file named by the first argument; `TROUBLE=0` leaves the disruption out. */
export async function runCase(run: (recorder: Recorder, isTroubled: boolean) => Promise<Outcome>): Promise<void> {
    const recorder = createRecorder(process.argv[2] ?? "record.txt");
    const isTroubled = process.env["TROUBLE"] !== "0";
    let code = EXIT_NOT_RUN;
    try {
        const { isBroken, isShown, summary } = await run(recorder, isTroubled);
        recorder.write("result", { isTroubled, isBroken, isShown, ...summary });
        process.stdout.write(`${JSON.stringify({ isTroubled, isBroken, isShown, ...summary })}\n`);
        code = !isShown ? EXIT_NOT_RUN : isBroken ? EXIT_BROKEN : EXIT_HELD;
    }
    catch (thrown) {
        recorder.write("failure", { message: String(thrown) });
        process.stdout.write(`${String(thrown)}\n`);
    }
    await recorder.close();
    process.exit(code);
}
