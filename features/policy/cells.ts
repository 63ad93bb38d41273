/**
 * Builders of cell views for policy tests, and arbitrary cells for property tests.
 */
import fc from "fast-check";
import type { CellView, Decision, PendingTask, PlacedTask, WorkerView } from "../../src/policy/policy.js";
import type { Resources } from "../../src/rules/rule.js";

/** The present time of tests, in milliseconds. */
export const NOW = 1_800_000_000_000;

const GIBIBYTE = 1_073_741_824;

/** Resources in cores and gibibytes. */
export function size(cores: number, gibibytes: number, accelerators = 0): Resources {
    return { cores, memoryBytes: gibibytes * GIBIBYTE, accelerators };
}

/** Options of a test worker. */
export interface WorkerOptions {
    readonly dataCentre?: string;
    readonly rack?: number;
    readonly accelerators?: number;
    readonly slots?: number;
    readonly state?: WorkerView["state"];
    readonly tasks?: readonly PlacedTask[];
}

/** A live worker with 8 slots, 32 cores and 125 GiB. */
export function worker(name: string, options: WorkerOptions = {}): WorkerView {
    return {
        instance: {
            kind: "worker",
            name,
            dataCentre: options.dataCentre ?? "levi",
            rack: options.rack ?? 0,
            state: "live",
            shape: {
                slots: options.slots ?? 8,
                cores: 32,
                memoryBytes: 125 * GIBIBYTE,
                accelerators: options.accelerators ?? 0,
                connections: 64,
            },
            controlOrigin: "http://127.0.0.1:1",
            serveOrigin: "http://127.0.0.1:2",
        },
        state: options.state ?? "live",
        tasks: options.tasks ?? [],
    };
}

/** A running batch task. */
export function placed(taskId: string, changes: Partial<PlacedTask> = {}): PlacedTask {
    return {
        taskId,
        attempt: 1,
        rule: "reconciliation",
        team: "mills",
        kind: "batch",
        resources: size(4, 8),
        priority: 5,
        state: "running",
        startedAtMilliseconds: NOW - 600_000,
        progress: 0.5,
        checkpointProgress: 0.5,
        evictions: 0,
        throttleShare: 1,
        ...changes,
    };
}

/** A batch task that may start now. */
export function pending(taskId: string, changes: Partial<PendingTask> = {}): PendingTask {
    return {
        taskId,
        rule: "reconciliation",
        team: "mills",
        kind: "batch",
        resources: size(4, 8),
        priority: 5,
        dataCentres: [],
        submittedAtMilliseconds: NOW - 1_000,
        notBeforeMilliseconds: 0,
        failures: 0,
        retries: 3,
        evictions: 0,
        ...changes,
    };
}

/** A cell of the given workers. */
export function cell(workers: readonly WorkerView[], changes: Partial<CellView> = {}): CellView {
    return { cell: "levi-0", workers, pending: [], quotas: [], placements: [], ...changes };
}

/** Returns the worker on which the decisions place a task, or `undefined`. */
export function findPlacedWorker(decisions: readonly Decision[], taskId: string): string | undefined {
    const decision = decisions.find(entry => entry.kind === "place" && entry.taskId === taskId);
    return decision?.kind === "place" ? decision.worker : undefined;
}

const rules = ["rental-desk", "ticket", "season-prep", "reconciliation", "tally"];
const teams = ["desk", "mills", "bookings"];

const arbitrarySize = fc.record({
    cores: fc.oneof(fc.integer({ min: 1, max: 8 }), fc.integer({ min: 1, max: 80 })).map(halves => halves / 2),
    gibibytes: fc.oneof(fc.integer({ min: 1, max: 8 }), fc.integer({ min: 1, max: 140 })),
    accelerators: fc.constantFrom(0, 0, 0, 0, 0, 0, 1, 2),
}).map(({ cores, gibibytes, accelerators }) => size(cores, gibibytes, accelerators));

const arbitraryPlacedSize = fc.record({
    cores: fc.integer({ min: 1, max: 16 }).map(halves => halves / 2),
    gibibytes: fc.integer({ min: 1, max: 40 }),
    accelerators: fc.constantFrom(0, 0, 0, 0, 1),
}).map(({ cores, gibibytes, accelerators }) => size(cores, gibibytes, accelerators));

const arbitraryPlaced = fc.record({
    rule: fc.constantFrom(...rules),
    team: fc.constantFrom(...teams),
    kind: fc.constantFrom("service" as const, "batch" as const, "batch" as const),
    resources: arbitraryPlacedSize,
    priority: fc.integer({ min: 0, max: 9 }),
    state: fc.constantFrom("starting" as const, "running" as const, "running" as const, "moving" as const),
    evictions: fc.integer({ min: 0, max: 6 }),
    progress: fc.double({ min: 0, max: 1, noNaN: true }),
});

const arbitraryWorker = fc.record({
    dataCentre: fc.constantFrom("levi", "rovaniemi"),
    rack: fc.integer({ min: 0, max: 2 }),
    accelerators: fc.constantFrom(0, 0, 4),
    slots: fc.integer({ min: 5, max: 8 }),
    state: fc.constantFrom(
        "live" as const,
        "live" as const,
        "live" as const,
        "leaving" as const,
        "draining" as const,
        "silent" as const,
    ),
    tasks: fc.array(arbitraryPlaced, { maxLength: 5 }),
});

const arbitraryPending = fc.record({
    rule: fc.constantFrom(...rules),
    team: fc.constantFrom(...teams),
    kind: fc.constantFrom("service" as const, "batch" as const),
    resources: arbitrarySize,
    priority: fc.integer({ min: 0, max: 9 }),
    dataCentres: fc.constantFrom([], ["levi"], ["rovaniemi"]),
    failures: fc.integer({ min: 0, max: 5 }),
    notBeforeMilliseconds: fc.constantFrom(0, NOW + 5_000),
});

const arbitraryQuota = fc.record({
    team: fc.constantFrom(...teams),
    cores: fc.integer({ min: 0, max: 100 }),
    gibibytes: fc.integer({ min: 0, max: 400 }),
    accelerators: fc.integer({ min: 0, max: 4 }),
});

/** Arbitrary cells, including cells whose workers are over capacity. */
export const arbitraryCell: fc.Arbitrary<CellView> = fc.record({
    workers: fc.array(arbitraryWorker, { minLength: 1, maxLength: 12, size: "max" }),
    pending: fc.array(arbitraryPending, { maxLength: 40, size: "max" }),
    quotas: fc.uniqueArray(arbitraryQuota, { selector: quota => quota.team, maxLength: 3 }),
}).map(({ workers, pending: waiting, quotas }) =>
    cell(
        workers.map((options, index) =>
            worker(`worker-${index}`, {
                ...options,
                tasks: options.tasks.map((task, place) => placed(`running-${index}-${place}`, task)),
            })
        ),
        {
            pending: waiting.map((task, index) => pending(`waiting-${index}`, task)),
            quotas: quotas.map(({ gibibytes, ...quota }) => ({ ...quota, memoryBytes: gibibytes * GIBIBYTE })),
        },
    )
);
