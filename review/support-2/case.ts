/**
 * Runs a case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run.
 */
import { startDeployment } from "./deployment.js";
import type { Deployment, Route } from "./deployment.js";

/** Time after which a case counts as one that could not run. */
const LIMIT_MILLISECONDS = 115_000;

/** Outcome of a case: what broke the rule; empty if it held. */
export type Violations = readonly string[];

/** Options of a case. */
export interface CaseOptions {
    readonly routes: readonly Route[];
    /** Plays the case and judges it; `hasTrouble` is false where the disruption is left out. */
    readonly play: (deployment: Deployment, hasTrouble: boolean) => Promise<Violations>;
}

/** Runs the case; the folder of its record is the first argument of the program. */
export async function runCase({ play, routes }: CaseOptions): Promise<void> {
    const [, , folder = "."] = process.argv;
    const hasTrouble = process.env["TROUBLE"] !== "0";
    let deployment: Deployment | undefined;
    let code = 2;
    const limit = new Promise<never>((_, reject) => {
        setTimeout(() => reject(new Error("the case takes too long")), LIMIT_MILLISECONDS).unref();
    });
    try {
        deployment = await startDeployment(folder, routes);
        const violations = await Promise.race([play(deployment, hasTrouble), limit]);
        violations.forEach(violation => process.stdout.write(`broken: ${violation}\n`));
        deployment.record("verdict", { hasTrouble, violations });
        code = violations.length > 0 ? 1 : 0;
    }
    catch (thrown) {
        process.stderr.write(`could not run: ${String(thrown)}\n`);
        deployment?.record("could-not-run", { reason: String(thrown) });
    }
    await deployment?.close();
    process.stdout.write(code === 1 ? "the rule was broken\n" : code === 0 ? "the rule held\n" : "no verdict\n");
    process.exit(code);
}

/** Fails the case as one that could not run. */
export function expectThat(condition: boolean, message: string): void {
    if (!condition) {
        throw new Error(message);
    }
}
