/**
 * Random faults on a whole deployment, judged by an independent checker.
 */
import { writeFile } from "node:fs/promises";
import { describeThrown } from "../../src/core/errors.js";
import { createRandom } from "../../src/core/random.js";
import { pause } from "../../src/core/time.js";
import { countSpoiltAnswers, describeVerdict, judgeAll } from "../support/checker/index.js";
import type { Evidence } from "../support/checker/index.js";
import { checkAtLeast, checkAtMost } from "../support/experiment.js";
import type { Check, Experiment, ExperimentContext } from "../support/experiment.js";
import { createInjector } from "../support/faults/inject.js";
import { createOperators } from "../support/faults/operators.js";
import { planFaults, WORKER_LEASE_MILLISECONDS } from "../support/faults/plan.js";
import type { PlannedFault } from "../support/faults/plan.js";
import { plotLatency, plotOutcomes } from "../support/faults/plots.js";
import { lastingBatch, services } from "../support/faults/rules.js";
import { runTraffic } from "../support/faults/traffic.js";
import { readDirected, readWithout } from "../support/faults/without.js";
import type { Without } from "../support/faults/without.js";
import { startWorld, waitUntil } from "../support/faults/world.js";
import type { World } from "../support/faults/world.js";
import type { LoadResult } from "../support/load.js";

const DEFAULT_SECONDS = "60";
const DEFAULT_INSTANCES = "9";
const DEFAULT_RATE = "60";
const READY_LIMIT_MILLISECONDS = 30_000;
/** Time after the last fault within which batch work has to finish and services to answer. */
const SETTLE_LIMIT_MILLISECONDS = 60_000;
const CLOSING_SECONDS = 3;
const LEAST_ANSWERED_SHARE = 0.99;
/** Under faults, at least half of the calls must be answered, or the run shows little. */
const LEAST_ANSWERED_UNDER_FAULTS = 0.5;
const RECORD_DELAY_MILLISECONDS = 1_000;

export const experiment: Experiment = {
    name: "faults",
    summary: "random faults on a whole deployment; a checker judges the logs of callers, workers and operators",
    options: {
        seconds: { type: "string", default: DEFAULT_SECONDS },
        instances: { type: "string", default: DEFAULT_INSTANCES },
        rate: { type: "string", default: DEFAULT_RATE },
        deployment: { type: "string", default: "tunturivalo" },
        workers: { type: "string" },
        evidence: { type: "string" },
        without: { type: "string" },
        directed: { type: "string" },
    },
    run,
};

interface Closing {
    readonly batchFinished: number;
    readonly batchExpected: number;
    readonly result: LoadResult;
}

async function run(context: ExperimentContext): Promise<Check[]> {
    const without = readWithout(context.values["without"]) ?? readDirected(context.values["directed"]);
    const world = await startWorld({
        seed: context.seed,
        deployment: context.values["deployment"] === "sumber-padi" ? "sumber-padi" : "tunturivalo",
        instances: Number(context.values["instances"]),
        ...(typeof context.values["workers"] === "string"
            ? { workersPerDataCentre: Number(context.values["workers"]) }
            : {}),
        workers: {
            profiles: { [services.exclusive]: { requestMilliseconds: 25 } },
            unlistedEffectAtMost: 0.5,
        },
        scheduler: { cells: { workerLeaseMilliseconds: WORKER_LEASE_MILLISECONDS } },
        ...(without === undefined ? {} : { without }),
    });
    context.progress(`${world.proxies.size} links behind proxies, logs in ${world.deployment.directory}`);
    try {
        return await runWorld(world, context);
    }
    finally {
        await world.close();
    }
}

async function runWorld(world: World, context: ExperimentContext): Promise<Check[]> {
    const random = createRandom(context.seed);
    const operators = createOperators(world, createRandom(context.seed + 1));
    await operators.begin();
    const isReady = await waitUntil(READY_LIMIT_MILLISECONDS, () => isAnswering(world, context.seed));
    if (!isReady) {
        throw new Error("the deployment does not answer before any fault");
    }
    const { listLagMilliseconds } = world.options.without ?? {};
    if (listLagMilliseconds !== undefined) {
        await world.deployment.setFaults(world.deployment.instancesOrigin, { lagMilliseconds: listLagMilliseconds });
    }
    const seconds = Math.max(Number(context.values["seconds"]), world.options.without?.leastSeconds ?? 0);
    const milliseconds = seconds * 1_000;
    const stop = new AbortController();
    const work = Promise.all([operators.edit(stop.signal), operators.look(stop.signal)]);
    const faults = carryOut(world, world.options.without?.faults ?? planFaults(random, milliseconds), context);
    const underFaults = await runTraffic(world, {
        name: "call",
        seed: context.seed,
        callsPerSecond: Number(context.values["rate"]),
        durationMilliseconds: milliseconds,
    });
    const failures = await faults;
    failures.forEach(failure => context.progress(`    not carried out: ${failure}`));
    world.healLinks();
    const slowest = Math.max(0, ...world.restartMilliseconds).toFixed(0);
    context.progress(`${world.restartMilliseconds.length} daemons started again, the slowest in ${slowest} ms`);
    context.progress(`healed; ${JSON.stringify(underFaults.outcomes)}`);
    const { without } = world.options;
    const closing = without === undefined ? await close(world, context) : undefined;
    stop.abort();
    await work;
    // The workers' log is written with a delay.
    await pause(RECORD_DELAY_MILLISECONDS);
    const evidence: Evidence = {
        calls: world.calls,
        workers: await world.readWorkerRecords(),
        operators: world.operators,
        exclusiveServices: [services.exclusive],
        endedAt: world.clock(),
    };
    context.plot?.(plotOutcomes(evidence.calls));
    context.plot?.(plotLatency(evidence.calls));
    if (typeof context.values["evidence"] === "string") {
        await writeFile(context.values["evidence"], JSON.stringify(evidence));
    }
    if (closing !== undefined) {
        return [
            ...judge(evidence, underFaults, closing, context),
            checkAtMost("daemons that did not come up again", failures.length, "faults", 0),
        ];
    }
    return without === undefined ? [] : judgeWithout(evidence, without, context);
}

async function isAnswering(world: World, seed: number): Promise<boolean> {
    const { outcomes, sent } = await runTraffic(world, {
        name: `probe-${Math.round(world.clock())}`,
        seed,
        callsPerSecond: 60,
        durationMilliseconds: 500,
    });
    return sent > 0 && outcomes.answered === sent;
}

/** Carries all faults out; gives what went wrong with the bench's own part, such as a daemon that did not start. */
async function carryOut(
    world: World,
    faults: readonly PlannedFault[],
    context: ExperimentContext,
): Promise<readonly string[]> {
    const failures: string[] = [];
    const injector = createInjector(world);
    const startedAt = world.clock();
    let left = 0;
    await Promise.all(faults.map(async fault => {
        await pause(Math.max(0, startedAt + fault.atMilliseconds - world.clock()));
        const at = ((world.clock() - startedAt) / 1_000).toFixed(1);
        context.progress(`${at} s ${fault.kind} for ${(fault.durationMilliseconds / 1_000).toFixed(1)} s`);
        try {
            const isCarriedOut = await injector.inject(fault);
            left += isCarriedOut ? 0 : 1;
        }
        catch (thrown) {
            // Most likely a daemon that did not come up again; the verdict must say so.
            failures.push(`${fault.kind} at ${at} s: ${describeThrown(thrown)}`);
        }
    }));
    context.progress(`${faults.length - left} faults of ${faults.length}; the others met a target in trouble already`);
    return failures;
}

/** After the last fault: batch work finishes, and every call is answered again. */
async function close(world: World, context: ExperimentContext): Promise<Closing> {
    const batchExpected = lastingBatch.reduce((sum, rule) => sum + rule.tasks, 0);
    let batchFinished = 0;
    await waitUntil(SETTLE_LIMIT_MILLISECONDS, async () => {
        batchFinished = await countFinished(world);
        return batchFinished >= batchExpected;
    });
    await waitUntil(SETTLE_LIMIT_MILLISECONDS, () => isAnswering(world, context.seed));
    const result = await runTraffic(world, {
        name: "closing",
        seed: context.seed,
        callsPerSecond: Number(context.values["rate"]),
        durationMilliseconds: CLOSING_SECONDS * 1_000,
    });
    return { batchFinished, batchExpected, result };
}

async function countFinished(world: World): Promise<number> {
    const names: readonly string[] = lastingBatch.map(rule => rule.name);
    const finished = (await world.readWorkerRecords()).flatMap(record =>
        record.event === "attempt-ended" && record.state === "finished" && names.includes(record.rule)
            ? [record.taskId]
            : []
    );
    return new Set(finished).size;
}

function judge(evidence: Evidence, underFaults: LoadResult, closing: Closing, context: ExperimentContext): Check[] {
    const verdicts = judgeAll(evidence);
    verdicts.flatMap(describeVerdict).forEach(line => context.progress(line));
    context.progress(`${countSpoiltAnswers(evidence)} answers were spoilt by workers on purpose`);
    return [
        ...verdicts.flatMap(({ promise, violations, opportunities }) => [
            checkAtMost(promise, violations.length, "violations", 0),
            checkAtLeast(`${promise}: occasions`, opportunities, "occasions", 1),
        ]),
        checkAtLeast("answered under faults", shareAnswered(underFaults), "share", LEAST_ANSWERED_UNDER_FAULTS),
        checkAtLeast("answered after the faults", shareAnswered(closing.result), "share", LEAST_ANSWERED_SHARE),
        checkAtLeast("batch tasks finished", closing.batchFinished, "tasks", closing.batchExpected),
    ];
}

/** The checker has to find the promise broken that rests on the mechanism, and kept where the mechanism is at work. */
function judgeWithout(evidence: Evidence, { promise }: Without, context: ExperimentContext): Check[] {
    const verdicts = judgeAll(evidence);
    verdicts.flatMap(describeVerdict).forEach(line => context.progress(line));
    const found = verdicts.find(verdict => verdict.promise === promise);
    const violations = found?.violations.length ?? 0;
    if (context.values["without"] !== undefined) {
        return [checkAtLeast(`found broken: ${promise}`, violations, "violations", 1)];
    }
    return [
        checkAtMost(promise, violations, "violations", 0),
        checkAtLeast(`${promise}: occasions`, found?.opportunities ?? 0, "occasions", 1),
    ];
}

function shareAnswered({ outcomes, sent }: LoadResult): number {
    return Number((outcomes.answered / Math.max(1, sent)).toFixed(4));
}
