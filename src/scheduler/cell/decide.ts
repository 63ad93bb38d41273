/**
 * Takes the policy's decisions into the ledger's draft, each checked against the room that is left.
 */
import type { Decision } from "../../policy/policy.js";
import type { Ledger } from "../ledger/ledger.js";
import { WAITING_STATES } from "../ledger/task.js";
import type { Task } from "../ledger/task.js";
import type { WorkerLink } from "./link.js";
import { addReservation, fits, sumReservations } from "./reservations.js";
import { endTask, evictTask, parkTask, placeTask, throttleTask } from "./transitions.js";

/** What decisions are applied to. */
export interface DecideInput {
    readonly ledger: Ledger;
    readonly links: ReadonlyMap<string, WorkerLink>;
    readonly isLive: (link: WorkerLink) => boolean;
    /** Hears of each decision that was not taken in, with the reason. */
    onRejected(decision: Decision, reason: string): void;
}

/** Applies decisions in their order. */
export function applyDecisions(input: DecideInput, decisions: readonly Decision[], now: number): void {
    const { ledger } = input;
    const reservations = sumReservations(ledger);
    for (const decision of decisions) {
        if (decision.kind === "quarantine" || decision.kind === "release") {
            continue;
        }
        const task = ledger.draft.get(decision.taskId);
        if (task === undefined) {
            input.onRejected(decision, "unknown-task");
            continue;
        }
        switch (decision.kind) {
            case "place": {
                const refusal = findPlacementRefusal(input, task, decision.worker, now, reservations);
                if (refusal === undefined) {
                    addReservation(reservations, decision.worker, ledger.specOf(task));
                    placeTask(ledger, task, decision.worker, now);
                }
                else {
                    input.onRejected(decision, refusal);
                }
                break;
            }
            case "throttle":
                throttleTask(ledger, task, decision.share, decision.reason);
                break;
            case "evict":
                if (ledger.specOf(task).kind === "batch") {
                    evictTask(ledger, task, decision.reason, now);
                }
                else {
                    input.onRejected(decision, "replica-is-never-moved");
                }
                break;
            case "stop":
                stopAttempt(input, task, decision, now);
                break;
            case "park":
                parkTask(ledger, task, decision.reason, now);
                break;
        }
    }
}

/** Only a replica is stopped outright; another takes its place. A batch task would lose its run. */
function stopAttempt(
    input: DecideInput,
    task: Task,
    decision: Extract<Decision, { kind: "stop"; }>,
    now: number,
): void {
    if (input.ledger.specOf(task).kind === "service") {
        endTask(input.ledger, task, decision.reason, now);
    }
    else {
        evictTask(input.ledger, task, decision.reason, now);
    }
}

function findPlacementRefusal(
    { ledger, links, isLive }: DecideInput,
    task: Task,
    worker: string,
    now: number,
    reservations: ReturnType<typeof sumReservations>,
): string | undefined {
    const link = links.get(worker);
    const spec = ledger.specOf(task);
    if (!WAITING_STATES.has(task.state)) {
        return "not-waiting";
    }
    if (now < task.notBeforeMilliseconds) {
        return "backing-off";
    }
    if (link === undefined || !isLive(link)) {
        return "worker-not-live";
    }
    if (spec.dataCentres.length > 0 && !spec.dataCentres.includes(link.instance.dataCentre)) {
        return "data-centre-not-allowed";
    }
    return fits(link.instance.shape, reservations.get(worker), spec) ? undefined : "no-room";
}
