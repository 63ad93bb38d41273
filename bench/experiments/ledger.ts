/**
 * Store calls and bytes a second of the ledgers, over rates of starts and numbers of cells.
 *
 * Time is virtual: each interval's transitions are committed to a store stand-in, one commit per cell and interval.
 */
import { createStore } from "../../src/platform/adapters/store.js";
import type { Store } from "../../src/platform/store.js";
import { claimCell, loadLedger, readHead } from "../../src/scheduler/ledger/journal.js";
import type { Journal } from "../../src/scheduler/ledger/journal.js";
import { createLedger } from "../../src/scheduler/ledger/ledger.js";
import type { Ledger } from "../../src/scheduler/ledger/ledger.js";
import { CellSettings } from "../../src/scheduler/settings.js";
import { createStoreStandIn, StoreStandInSettings } from "../../stand-ins/store/index.js";
import { checkAtLeast, checkAtMost } from "../support/experiment.js";
import type { Check, Experiment, ExperimentContext } from "../support/experiment.js";

const RATES_PER_SECOND = [10, 100, 1_000];
const CELLS = [1, 8, 32];
const WRITES_BOUND_PER_SECOND = 300;
const DEFAULT_SECONDS = "20";
const UNLIMITED_PER_SECOND = 1_000_000;
const STORE_TIMEOUT_MILLISECONDS = 5_000;
/** Intervals from a task's start to its end. */
const INTERVALS_RUNNING = 10;

/** What one combination used. */
interface Usage {
    readonly cells: number;
    readonly startsPerSecond: number;
    readonly writesPerSecond: number;
    readonly kilobytesPerSecond: number;
    readonly started: number;
}

interface OpenCell {
    readonly journal: Journal;
    readonly ledger: Ledger;
}

export const experiment: Experiment = {
    name: "ledger",
    summary: "store writes and bytes a second of the ledgers over starts a second and cells",
    options: { seconds: { type: "string" } },
    async run(context) {
        const usages: Usage[] = [];
        for (const cells of CELLS) {
            for (const rate of RATES_PER_SECOND) {
                usages.push(await measure(cells, rate, context));
            }
        }
        return toChecks(usages);
    },
};

async function measure(cells: number, rate: number, context: ExperimentContext): Promise<Usage> {
    const seconds = Number(context.values["seconds"] ?? DEFAULT_SECONDS);
    const settings = CellSettings.parse({});
    const standIn = await createStoreStandIn(
        StoreStandInSettings.parse({ writesPerSecond: UNLIMITED_PER_SECOND, readsPerSecond: UNLIMITED_PER_SECOND }),
    );
    try {
        const store = createStore({ origins: [standIn.origin], timeoutMilliseconds: STORE_TIMEOUT_MILLISECONDS });
        const open = await Promise.all(
            Array.from({ length: cells }, (entry, index) => openCell(store, `bench-${index}`, settings)),
        );
        const before = standIn.counts();
        const intervals = Math.round(seconds * 1_000 / settings.commitIntervalMilliseconds);
        let started = 0;
        for (let interval = 0; interval < intervals; interval += 1) {
            const due = Math.floor(rate * (interval + 1) * settings.commitIntervalMilliseconds / 1_000);
            const now = interval * settings.commitIntervalMilliseconds;
            for (; started < due; started += 1) {
                admit(open[started % cells]?.ledger, started, now);
            }
            await Promise.all(open.map(cell => commitInterval(cell, settings, now)));
        }
        const after = standIn.counts();
        await checkReload(store, open);
        const usage = {
            cells,
            startsPerSecond: rate,
            writesPerSecond: (after.writes - before.writes) / seconds,
            kilobytesPerSecond: (after.bytesIn - before.bytesIn) / seconds / 1_000,
            started,
        };
        context.progress(JSON.stringify(usage));
        return usage;
    }
    finally {
        await standIn.close();
    }
}

async function openCell(store: Store, cell: string, settings: CellSettings): Promise<OpenCell> {
    const journal = await claimCell({
        store,
        cell,
        holder: { instance: "bench", incarnation: "1", origin: "http://127.0.0.1:1" },
        previousHead: undefined,
        now: 0,
        horizonMilliseconds: settings.horizonMilliseconds,
        predecessorGone: true,
        segmentsPerSnapshot: settings.segmentsPerSnapshot,
    });
    if (journal.isErr) {
        throw new Error(journal.error.message);
    }
    return { journal: journal.value, ledger: createLedger() };
}

function admit(ledger: Ledger | undefined, number: number, now: number): void {
    const specId = "prep:1";
    ledger?.putSpec({
        specId,
        rule: "prep",
        team: "bench",
        requester: "Bench, bench",
        kind: "batch",
        resources: { cores: 1, memoryBytes: 1_000_000_000, accelerators: 0 },
        dataCentres: [],
        priority: 5,
        workSeconds: 1,
        retries: 1,
    });
    ledger?.put({
        taskId: `prep@${number}/0`,
        specId,
        state: "starting",
        attempt: 1,
        worker: `levi-${number % 128}`,
        checkpointProgress: 0,
        submittedAtMilliseconds: now,
        notBeforeMilliseconds: now,
        sinceMilliseconds: now,
        failures: 0,
        evictions: 0,
        throttleShare: 1,
        reason: "",
    });
}

/** Moves all tasks on by one interval and commits: starting, running, and gone at the end. */
async function commitInterval({ journal, ledger }: OpenCell, settings: CellSettings, now: number): Promise<void> {
    const lifetime = INTERVALS_RUNNING * settings.commitIntervalMilliseconds;
    for (const task of [...ledger.draft.values()]) {
        if (now - task.submittedAtMilliseconds >= lifetime) {
            ledger.remove(task.taskId);
        }
        else if (task.state === "starting" && task.submittedAtMilliseconds < now) {
            ledger.put({ ...task, state: "running", sinceMilliseconds: now });
        }
    }
    if (ledger.hasChanges()) {
        const committed = await journal.commit({ ledger, now, horizonMilliseconds: settings.horizonMilliseconds });
        if (committed.isErr) {
            throw new Error(committed.error.message);
        }
    }
}

/** What was committed is what a successor loads. */
async function checkReload(store: Store, open: readonly OpenCell[]): Promise<void> {
    for (const { journal, ledger } of open) {
        const head = await readHead(store, journal.head().cell);
        const loaded = head.isOk && head.value !== undefined ? await loadLedger(store, head.value.body) : undefined;
        if (loaded?.isOk !== true || loaded.value.committed.size !== ledger.committed.size) {
            throw new Error(`ledger of ${journal.head().cell} does not load as it was committed`);
        }
    }
}

function toChecks(usages: readonly Usage[]): Check[] {
    const most = Math.max(...usages.map(usage => usage.writesPerSecond));
    const slopes = CELLS.map(cells => {
        const of = (rate: number) => usages.find(usage => usage.cells === cells && usage.startsPerSecond === rate);
        const [low = 1, high = 1] = [RATES_PER_SECOND[0], RATES_PER_SECOND.at(-1)];
        return ((of(high)?.writesPerSecond ?? Infinity) / (of(low)?.writesPerSecond ?? 1)) / (high / low);
    });
    return [
        checkAtLeast("starts committed", usages.reduce((sum, usage) => sum + usage.started, 0), "starts", 1),
        checkAtMost("store writes a second, most of all combinations", most, "writes/s", WRITES_BOUND_PER_SECOND),
        checkAtMost("slope of writes over slope of starts, worst number of cells", Math.max(...slopes), "ratio", 1),
        ...usages.map(usage => {
            const name = `writes at ${usage.startsPerSecond} starts/s over ${usage.cells} cells`;
            return checkAtMost(name, usage.writesPerSecond, "writes/s", WRITES_BOUND_PER_SECOND);
        }),
    ];
}
