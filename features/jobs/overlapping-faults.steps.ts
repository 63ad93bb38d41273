/**
 * Steps for faults of several machines that overlap, drawn from a seed.
 */
import { When } from "@cucumber/cucumber";
import { createRandom } from "../../src/core/random.js";
import type { Random } from "../../src/core/random.js";
import type { JobsProcess } from "../../stand-ins/users-platform/deployment.js";
import type { UsersWorker } from "../../stand-ins/users-platform/worker.js";
import { ownerOf, runningProcesses } from "./world.js";
import type { PathWorld } from "./world.js";

interface Fault {
    begin(): void;
    end(): Promise<void> | void;
}

const LIMIT = { timeout: 60_000 };
const SECOND = 1_000;

/** Time between the beginnings of two faults. */
const GAP_MILLISECONDS = 1_200;

const SHORTEST_FAULT_MILLISECONDS = 300;
const LONGEST_FAULT_MILLISECONDS = 6_000;

/** Share of faults that strike the owner; the others are spread over all processes and workers. */
const OWNER_SHARE = 0.5;

const wait = (milliseconds: number): Promise<void> => new Promise(resolve => setTimeout(resolve, milliseconds));

function processFaults({ usersPlatform }: PathWorld, refused: Set<string>, process: JobsProcess): Fault[] {
    const { child, store } = process;
    return [
        {
            begin: () => void process.kill(),
            async end() {
                await usersPlatform.startProcess(process.name);
            },
        },
        { begin: () => void child.kill("SIGSTOP"), end: () => void child.kill("SIGCONT") },
        { begin: () => store.disconnect(), end: () => store.reconnect() },
        { begin: () => void refused.add(process.name), end: () => void refused.delete(process.name) },
    ];
}

function workerFaults(worker: UsersWorker): Fault[] {
    return [
        { begin: () => worker.disconnect(), end: () => worker.reconnect() },
        { begin: () => worker.cutPower(), end: () => worker.restart() },
    ];
}

When(
    "faults of processes and workers overlap for {int} s, drawn from seed {int}",
    LIMIT,
    async function(this: PathWorld, seconds: number, seed: number) {
        const random: Random = createRandom(seed);
        const choose = <Item>(items: readonly Item[]): Item | undefined => items[Math.floor(random() * items.length)];
        const impaired = new Set<JobsProcess | UsersWorker>();
        /** Processes whose calls the store refuses. */
        const refused = new Set<string>();
        this.usersPlatform.store.fault = (_, client) => refused.has(client) ? "refused" : "none";
        const endings: Promise<void>[] = [];
        const until = performance.now() + seconds * SECOND;
        while (performance.now() < until) {
            const isOwner = random() < OWNER_SHARE;
            const target = isOwner
                ? await ownerOf(this)
                : choose([...runningProcesses(this), ...this.usersPlatform.workers]);
            const length = SHORTEST_FAULT_MILLISECONDS
                + random() * (LONGEST_FAULT_MILLISECONDS - SHORTEST_FAULT_MILLISECONDS);
            const kind = random();
            if (target !== undefined && !impaired.has(target)) {
                const faults = "child" in target ? processFaults(this, refused, target) : workerFaults(target);
                const fault = faults[Math.floor(kind * faults.length)];
                impaired.add(target);
                fault?.begin();
                endings.push(
                    wait(length).then(async () => {
                        await fault?.end();
                        impaired.delete(target);
                    }),
                );
            }
            await wait(GAP_MILLISECONDS);
        }
        await Promise.all(endings);
    },
);
