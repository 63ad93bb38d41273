/**
 * Baselines of the policy bench: first-fit, random, tail-only and an oracle that knows the effects.
 */
import type { Random } from "../../src/core/random.js";
import type { WorkerReport } from "../../src/platform/worker.js";
import type { CellView, Decision, PendingTask, PlacedTask, WorkerView } from "../../src/policy/policy.js";
import type { Environment } from "./environment.js";

/** Decides for one cell, second by second. */
export interface Contestant {
    observe(report: WorkerReport, second: number): void;
    decide(view: CellView, second: number): readonly Decision[];
}

/** Creates the contestant for one cell. */
export type ContestantFactory = (environment: Environment, random: Random) => Contestant;

/** Room on a worker, as counted by the baselines. */
interface Slot {
    readonly worker: WorkerView;
    readonly tasks: (PlacedTask | PendingTask)[];
}

type Choose = (task: PendingTask, slots: readonly Slot[], second: number) => Slot | undefined;

const TAIL_LIMIT = 1.5;
const REFERENCE_CORES = 4;

/** The first worker with room. */
export const firstFit: ContestantFactory = () => createPlacer((task, slots) => slots[0]);

/** A random worker with room. */
export const randomFit: ContestantFactory = (environment, random) =>
    createPlacer((task, slots) => slots[Math.floor(random() * slots.length)]);

/** Places batch where fewest services are, and evicts whenever a reported tail is too high. */
export const tailOnly: ContestantFactory = environment => {
    const placer = createPlacer((task, slots) =>
        task.kind === "service" ? slots[0] : pickLeast(slots, slot => countServices(slot))
    );
    const slow = new Map<string, number>();
    return {
        observe(report, second) {
            for (const usage of report.usages) {
                const alone = 1 + 0.5 * environment.load(second);
                const tail = (usage.latencyTailMilliseconds ?? 0) / BASE_TAIL_MILLISECONDS;
                if (tail > TAIL_LIMIT * alone) {
                    slow.set(report.worker, second);
                }
            }
        },
        decide(view, second) {
            const evictions = view.workers.filter(worker => slow.delete(worker.instance.name)).flatMap(evictLargest);
            return [...evictions, ...placer.decide(view, second)];
        },
    };
};

/** Tail of a service alone and idle, in the unit of the reports. */
export const BASE_TAIL_MILLISECONDS = 32;

/** Places where the sum of latency rises grows least, by the effects as they are now. */
export const oracle: ContestantFactory = environment => {
    const services = new Map(environment.services.map((rule, index) => [rule, index]));
    const batches = new Map(environment.batches.map((model, index) => [model.rule, index]));
    const pairEffect = (service: string, batch: string, second: number) => {
        const index = batches.get(batch) ?? 0;
        const model = environment.batches[index];
        const cores = (model?.declaredCores ?? 0) * (model?.useShare ?? 0);
        const noisy = environment.isNoisy(index, second) ? 2 : 1;
        return environment.effect(services.get(service) ?? 0, index, second) * noisy * cores / REFERENCE_CORES;
    };
    return createPlacer((task, slots, second) =>
        task.kind === "service"
            ? pickLeast(slots, slot =>
                sum(slot.tasks, other =>
                    other.kind === "batch" ? pairEffect(task.rule, other.rule, second) : -0.01))
            : pickLeast(slots, slot =>
                sum(slot.tasks, other =>
                    other.kind === "service" ? pairEffect(other.rule, task.rule, second) : 0))
    );
};

function createPlacer(choose: Choose): Contestant {
    return {
        observe() {
            // Baselines that only place learn nothing.
        },
        decide(view, second) {
            const slots = view.workers.map(worker => ({ worker, tasks: [...worker.tasks] }));
            const ordered = [...view.pending].sort((left, right) =>
                Number(left.kind === "batch") - Number(right.kind === "batch")
                || left.submittedAtMilliseconds - right.submittedAtMilliseconds
            );
            return ordered.flatMap(task => {
                const slot = choose(task, slots.filter(candidate => fits(candidate, task)), second);
                slot?.tasks.push(task);
                return slot === undefined
                    ? []
                    : [{ kind: "place", taskId: task.taskId, worker: slot.worker.instance.name } as const];
            });
        },
    };
}

/** Tells whether a worker holds one more task; two replicas of one service never share a worker. */
function fits(slot: Slot, task: PendingTask): boolean {
    const { shape } = slot.worker.instance;
    const all = [...slot.tasks, task];
    return all.length <= shape.slots
        && sum(all, other => other.resources.cores) <= shape.cores
        && sum(all, other => other.resources.memoryBytes) <= shape.memoryBytes
        && !(task.kind === "service" && slot.tasks.some(other => other.rule === task.rule));
}

function evictLargest(worker: WorkerView): Decision[] {
    const [largest] = worker.tasks
        .filter(task => task.kind === "batch" && task.state === "running")
        .sort((left, right) => right.resources.cores - left.resources.cores);
    return largest === undefined ? [] : [{ kind: "evict", taskId: largest.taskId, reason: "reported tail too high" }];
}

function countServices(slot: Slot): number {
    return slot.tasks.filter(task => task.kind === "service").length;
}

function pickLeast(slots: readonly Slot[], measure: (slot: Slot) => number): Slot | undefined {
    let best: Slot | undefined;
    let least = Number.POSITIVE_INFINITY;
    for (const slot of slots) {
        const value = measure(slot);
        if (value < least) {
            least = value;
            best = slot;
        }
    }
    return best;
}

function sum<Value>(values: readonly Value[], measure: (value: Value) => number): number {
    return values.reduce((total, value) => total + measure(value), 0);
}
