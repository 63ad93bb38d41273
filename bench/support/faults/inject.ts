/**
 * Brings faults about in a world, and ends them.
 */
import { pause } from "../../../src/core/time.js";
import type { WorkerInstance } from "../../../src/platform/instances.js";
import type { DaemonRole, DeployedInstance } from "../../../stand-ins/deployment.js";
import type { RunningProcess } from "../../../stand-ins/processes.js";
import type { ProxyRuleChange } from "../../../stand-ins/proxy/index.js";
import type { FaultKind, PlannedFault } from "./plan.js";
import type { World } from "./world.js";

const RESTART_AFTER_MILLISECONDS = 1_000;
const LINKS_SHARE = 0.15;
const SPOILT_SHARE = 0.4;
const SPOILING_STEP = 3;
const SLOW_STORE_MILLISECONDS = 400;
const SLOW_WORKER_MILLISECONDS = 300;
const LAG_MILLISECONDS = 1_500;

/** Faults of which one at a time acts on a target; where the drawn daemon or worker is in trouble, the next one is hit. */
export interface Injector {
    /** Resolves when the fault is over; false where every target was in trouble already and was left alone. */
    inject(fault: PlannedFault): Promise<boolean>;
}

/** What a fault does between its start and its end. */
interface Action {
    readonly target: string;
    run(): Promise<void>;
}

/** Creates the injector of a world. */
export function createInjector(world: World): Injector {
    const busy = new Set<string>();
    return {
        async inject(fault) {
            const action = await createAction(world, fault, target => !busy.has(target));
            if (busy.has(action.target)) {
                return false;
            }
            busy.add(action.target);
            const at = world.clock();
            try {
                await action.run();
            }
            finally {
                busy.delete(action.target);
            }
            const kind = fault.kind.endsWith("-paused") ? "pause" : fault.kind;
            world.operators.push({ event: "fault", at, until: world.clock(), kind, target: action.target });
            return true;
        },
    };
}

/** Tells whether a target is in no trouble yet. */
type IsFree = (target: string) => boolean;

async function createAction(world: World, fault: PlannedFault, isFree: IsFree): Promise<Action> {
    const { kind } = fault;
    if (kind.startsWith("store-")) {
        return switchFaults(world, fault, "store", world.deployment.storeOrigin, storeFaults[kind]);
    }
    if (kind.startsWith("list-")) {
        return switchFaults(world, fault, "instances", world.deployment.instancesOrigin, listFaults[kind]);
    }
    if (kind.startsWith("gateway-") || kind.startsWith("scheduler-")) {
        return createDaemonAction(world, fault, isFree);
    }
    if (kind.startsWith("links-")) {
        return createLinksAction(world, fault);
    }
    return createWorkerAction(world, fault, isFree);
}

type Faults = Partial<Record<FaultKind, { readonly begin: object; readonly end: object; }>>;

const storeFaults: Faults = {
    "store-down": { begin: { down: "reset" }, end: { down: "no" } },
    "store-hangs": { begin: { down: "hang" }, end: { down: "no", breakWatches: true } },
    "store-slow": { begin: { slowMilliseconds: SLOW_STORE_MILLISECONDS }, end: { slowMilliseconds: 0 } },
    "store-loses-answers": { begin: { loseAnswers: 5 }, end: { loseAnswers: 0 } },
    "store-reads-stale": { begin: { staleReads: true }, end: { staleReads: false } },
    "store-answers-from-the-past": {
        begin: { staleReads: true, silentWatches: true },
        end: { staleReads: false, silentWatches: false, breakWatches: true },
    },
    "store-watches-break": { begin: { breakWatches: true }, end: {} },
};

const listFaults: Faults = {
    "list-down": { begin: { down: true }, end: { down: false } },
    "list-lags": { begin: { lagMilliseconds: LAG_MILLISECONDS }, end: { lagMilliseconds: 0 } },
};

const workerFaults: Faults = {
    "worker-restarts": { begin: { restart: true }, end: {} },
    "worker-silent": { begin: { silent: true }, end: { silent: false } },
    "worker-orders-cut": { begin: { controlDown: true }, end: { controlDown: false } },
    "worker-loses-order-answers": { begin: { loseOrderAnswers: 4 }, end: { loseOrderAnswers: 0 } },
    "worker-fails-starts": { begin: { failStarts: true }, end: { failStarts: false } },
    "worker-slow": { begin: { slowMilliseconds: SLOW_WORKER_MILLISECONDS }, end: { slowMilliseconds: 0 } },
    "answers-truncated": { begin: { truncateAnswers: SPOILT_SHARE }, end: { truncateAnswers: 0 } },
    "answers-dropped": { begin: { dropAnswers: SPOILT_SHARE }, end: { dropAnswers: 0 } },
    "answers-crossed": { begin: { crossAnswers: SPOILT_SHARE }, end: { crossAnswers: 0 } },
};

function switchFaults(
    world: World,
    fault: PlannedFault,
    target: string,
    origin: string,
    faults: Faults[FaultKind],
): Action {
    return {
        target,
        run: async () => {
            await world.deployment.setFaults(origin, faults?.begin ?? {});
            await pause(fault.durationMilliseconds);
            await world.deployment.setFaults(origin, faults?.end ?? {});
        },
    };
}

function createDaemonAction(world: World, fault: PlannedFault, isFree: IsFree): Action {
    const role: DaemonRole = fault.kind.startsWith("gateway-") ? "gateway" : "scheduler";
    const nameTarget = ({ name }: DeployedInstance) => `${name}/${role}`;
    const instance = chooseFree(world.deployment.instances, fault.choice, one => isFree(nameTarget(one)));
    const runs: Record<string, () => Promise<void>> = {
        killed: () => killDaemon(world, instance, role),
        paused: () => pauseDaemon(instance, role, fault.durationMilliseconds),
        stopped: () => stopDaemon(world, instance, role),
    };
    const [, how = ""] = fault.kind.split("-");
    return { target: nameTarget(instance), run: runs[how] ?? (async () => undefined) };
}

async function killDaemon(world: World, instance: DeployedInstance, role: DaemonRole): Promise<void> {
    await instance[role].kill();
    await restartDaemon(world, instance, role);
}

async function restartDaemon(world: World, instance: DeployedInstance, role: DaemonRole): Promise<void> {
    await pause(RESTART_AFTER_MILLISECONDS);
    const at = world.clock();
    await world.deployment.restart(instance, role);
    world.restartMilliseconds.push(world.clock() - at);
}

async function pauseDaemon(instance: DeployedInstance, role: DaemonRole, milliseconds: number): Promise<void> {
    const daemon = instance[role];
    daemon.pause();
    await pause(milliseconds);
    daemon.resume();
}

async function stopDaemon(world: World, instance: DeployedInstance, role: DaemonRole): Promise<void> {
    const daemon = instance[role];
    const at = world.clock();
    const exit = await endDaemon(daemon, world.options.without?.gracefulStop ?? true);
    world.operators.push({
        event: "planned-stop",
        at,
        until: world.clock(),
        process: `${instance.name}/${role}`,
        origin: daemon.announcement["callers"] ?? "",
        exitCode: typeof exit === "number" ? exit : 1,
    });
    await restartDaemon(world, instance, role);
}

async function endDaemon(daemon: RunningProcess, isGraceful: boolean): Promise<number | NodeJS.Signals> {
    if (isGraceful) {
        return daemon.stop();
    }
    await daemon.kill();
    return 0;
}

async function createWorkerAction(world: World, fault: PlannedFault, isFree: IsFree): Promise<Action> {
    if (fault.kind.startsWith("answers-")) {
        return createAnswersAction(world, fault);
    }
    const worker = await chooseBusyWorker(world, fault, isFree);
    return fault.kind === "worker-leaving" || fault.kind === "worker-refuses-and-leaves"
        ? createLeaveAction(world, fault, worker)
        : switchFaults(world, fault, worker.name, worker.controlOrigin, workerFaults[fault.kind]);
}

/** A worker that runs batch work, so that its trouble matters; any worker where none does. */
async function chooseBusyWorker(world: World, fault: PlannedFault, isFree: IsFree): Promise<WorkerInstance> {
    const active = new Map<string, string>();
    for (const record of await world.readWorkerRecords()) {
        if (record.event === "attempt-started" && record.kind === "batch") {
            active.set(`${record.worker} ${record.taskId}`, record.worker);
        }
        if (record.event === "attempt-ended") {
            active.delete(`${record.worker} ${record.taskId}`);
        }
    }
    const names = new Set(active.values());
    const busy = world.workers.filter(worker => names.has(worker.name));
    return chooseFree(busy.length > 0 ? busy : world.workers, fault.choice, ({ name }) => isFree(name));
}

function createLeaveAction(world: World, fault: PlannedFault, worker: WorkerInstance): Action {
    const control = worker.controlOrigin;
    const refuse = fault.kind === "worker-refuses-and-leaves";
    return {
        target: worker.name,
        run: async () => {
            await world.deployment.setFaults(control, { refuse });
            await world.list({ ...worker, state: "leaving" });
            const at = world.clock();
            await pause(fault.durationMilliseconds);
            world.operators.push({ event: "worker-leaving", at, until: world.clock(), worker: worker.name });
            await world.list(worker);
            await world.deployment.setFaults(control, { refuse: false });
        },
    };
}

/** Spoils answers on every third worker, so that some of them serve callers. */
function createAnswersAction(world: World, fault: PlannedFault): Action {
    const first = Math.floor(fault.choice * SPOILING_STEP);
    const workers = world.workers.filter((worker, index) => index % SPOILING_STEP === first);
    const actions = workers.map(worker =>
        switchFaults(world, fault, worker.name, worker.controlOrigin, workerFaults[fault.kind])
    );
    return {
        target: fault.kind,
        run: async () => {
            await Promise.all(actions.map(action => action.run()));
        },
    };
}

const linkRules: Partial<Record<FaultKind, readonly [begin: ProxyRuleChange, end: ProxyRuleChange]>> = {
    "links-cut": [{ cut: true }, {}],
    "links-silent": [{ silenceOpen: "both" }, {}],
    "links-one-way": [{ silence: "to-client" }, { silence: "none" }],
    "links-delayed": [{ delayMilliseconds: 20, spreadMilliseconds: 200 }, {
        delayMilliseconds: 0,
        spreadMilliseconds: 0,
    }],
    "links-drop-answers": [{ dropAnswers: 3 }, { dropAnswers: 0 }],
    "links-peers-silent": [{ silence: "both", silenceOpen: "both" }, { silence: "none" }],
};

/** Acts on a share of the links: those whose place in the list follows the choice. */
function createLinksAction(world: World, fault: PlannedFault): Action {
    const chosen = fault.kind === "links-peers-silent"
        ? [...world.proxies.keys()].filter(name => name.startsWith("peers>"))
        : chooseLinks([...world.proxies.keys()], fault);
    const [begin, end] = linkRules[fault.kind] ?? [{}, {}];
    const change = (rules: ProxyRuleChange) => chosen.forEach(name => world.proxies.get(name)?.setRules(rules));
    return {
        target: `links ${fault.kind}`,
        run: async () => {
            change(begin);
            await pause(fault.durationMilliseconds);
            change(end);
        },
    };
}

function chooseLinks(names: readonly string[], fault: PlannedFault): string[] {
    const count = Math.max(1, Math.floor(names.length * LINKS_SHARE));
    const first = Math.floor(fault.choice * names.length);
    const step = Math.max(1, Math.floor(names.length / count));
    return Array.from({ length: count }, (unused, index) => names[(first + index * step) % names.length] ?? "");
}

/** Chooses a value that is free, the drawn one or one after it; the drawn one where none is. */
function chooseFree<Value>(values: readonly Value[], choice: number, isFree: (value: Value) => boolean): Value {
    const first = Math.floor(choice * values.length);
    const turned = [...values.slice(first), ...values.slice(0, first)];
    return turned.find(isFree) ?? choose(values, choice);
}

function choose<Value>(values: readonly Value[], choice: number): Value {
    const value = values[Math.floor(choice * values.length)];
    if (value === undefined) {
        throw new Error("there is nothing to choose from");
    }
    return value;
}
