/**
 * Why the start of a placed task must not be sent, or not be repeated.
 *
 * A task is placed once, but its order may wait for the commit or for an answer to another order, or be repeated after the
 * worker was silent. So each order is checked when it is about to be sent.
 */
import type { Ledger } from "../ledger/ledger.js";
import type { Task } from "../ledger/task.js";

/** A change since the task was placed that stands against its start. */
export type StartObstacle =
    /** The draft ends the attempt; its commit is still to come. */
    | "attempt-ending"
    | "rule-ended";

/** State that a start depends on, as of now. */
export interface StartContext {
    readonly ledger: Ledger;
    /** Names of the rules that run tasks now. */
    readonly rules: ReadonlySet<string>;
}

/** Finds what stands against sending the start of a committed task; absent if nothing does. */
export function findStartObstacle({ ledger, rules }: StartContext, task: Task): StartObstacle | undefined {
    const draft = ledger.draft.get(task.taskId);
    if (draft?.attempt !== task.attempt || draft.state !== "starting") {
        return "attempt-ending";
    }
    return rules.has(ledger.specOf(task).rule) ? undefined : "rule-ended";
}
