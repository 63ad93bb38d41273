/**
 * Service latency, batch throughput and evictions of the policy against baselines, on both deployments.
 */
import { createPolicy } from "../../src/policy/create.js";
import type { InterferenceModel } from "../../src/policy/interference.js";
import type { PolicyWeights } from "../../src/policy/settings.js";
import { PolicySettings, TAIL_WEIGHTS, THROUGHPUT_WEIGHTS } from "../../src/policy/settings.js";
import type { ContestantFactory } from "../policy/contestants.js";
import { firstFit, oracle, randomFit, tailOnly } from "../policy/contestants.js";
import { createEnvironment, deployments } from "../policy/environment.js";
import type { Deployment } from "../policy/environment.js";
import { createLatencyMixture } from "../policy/latency.js";
import { toMilliseconds } from "../policy/tasks.js";
import { runContestant } from "../policy/world.js";
import type { Outcome } from "../policy/world.js";
import type { Check, Experiment, ExperimentContext } from "../support/experiment.js";
import { checkAtLeast, checkAtMost } from "../support/experiment.js";

/** Figures of one contestant over all runs. */
interface Figures {
    readonly tail: number;
    readonly workDone: number;
    readonly evictions: number;
    readonly placements: number;
    readonly capacityViolations: number;
}

const TAIL_SHARE = 0.99;
const DEFAULT_SECONDS = 7_200;
const DEFAULT_RUNS = 3;
const LARGEST_TAIL_TO_FIRST_FIT = 0.5;
const SMALLEST_THROUGHPUT_WITH_TAIL_WEIGHTS = 0.95;
const LARGEST_EVICTIONS_TO_TAIL_ONLY = 0.3;
const LARGEST_TAIL_TO_ORACLE = 1.15;

function createOwn(weights: PolicyWeights, learning: boolean): ContestantFactory {
    return (environment, random) => {
        const policy = createPolicy({ settings: PolicySettings.parse({ weights }), random });
        return {
            observe(report, second) {
                if (learning) {
                    policy.observeReport(report, toMilliseconds(second));
                }
            },
            decide: (view, second) => policy.decide(view, toMilliseconds(second)),
        };
    };
}

/** Our policy with the true effects in place of what it would learn: what is left is the cost of learning. */
function createInformed(weights: PolicyWeights): ContestantFactory {
    return (environment, random) => {
        let present = 0;
        const interference: InterferenceModel = {
            observe() {
                // The truth is known.
            },
            effect(service, batchRule) {
                const index = environment.batches.findIndex(batch => batch.rule === batchRule);
                const noisy = environment.isNoisy(index, present) ? 2 : 1;
                const mean = environment.effect(environment.services.indexOf(service), index, present) * noisy;
                return { mean, deviation: 0 };
            },
            load: () => environment.load(present),
            observedRise: () => undefined,
        };
        const settings = PolicySettings.parse({ weights, placement: { exploration: 0 } });
        const policy = createPolicy({ settings, random, interference });
        return {
            observe: (report, second) => policy.observeReport(report, toMilliseconds(second)),
            decide(view, second) {
                present = second;
                return policy.decide(view, toMilliseconds(second));
            },
        };
    };
}

function runAll(
    context: ExperimentContext,
    deployment: Deployment,
    name: string,
    factory: ContestantFactory,
): Figures {
    const seconds = Number(context.values["seconds"] ?? DEFAULT_SECONDS);
    const runs = Number(context.values["runs"] ?? DEFAULT_RUNS);
    const outcomes = Array.from({ length: runs }, (unused, run) => {
        const seed = context.seed + run;
        return runContestant(createEnvironment(deployment, seed, seconds), factory, seed);
    });
    outcomes.forEach((outcome, run) =>
        context.progress(`${deployment.name} ${name} run ${run}: ${describe(outcome, seconds)}`)
    );
    return {
        tail: createLatencyMixture(outcomes.map(outcome => outcome.latency)).quantile(TAIL_SHARE),
        workDone: sum(outcomes, outcome => outcome.workDone),
        evictions: sum(outcomes, outcome => outcome.evictions),
        placements: sum(outcomes, outcome => outcome.placements),
        capacityViolations: sum(outcomes, outcome => outcome.capacityViolations),
    };
}

function describe(outcome: Outcome, seconds: number): string {
    return [
        `p99 ${outcome.latency.quantile(TAIL_SHARE).toFixed(2)}`,
        `median ${outcome.latency.quantile(0.5).toFixed(2)}`,
        `${Math.round(outcome.workDone / seconds)} cores busy`,
        `${outcome.tasksFinished} tasks finished`,
        `${outcome.evictions} evictions`,
        `${outcome.throttles} throttles`,
        `${outcome.stops} stops`,
        `${outcome.capacityViolations} of ${outcome.placements} placements over capacity`,
        `${outcome.decisionMicroseconds.toFixed(0)} µs a call`,
    ].join(", ");
}

function sum(outcomes: readonly Outcome[], measure: (outcome: Outcome) => number): number {
    return outcomes.reduce((total, outcome) => total + measure(outcome), 0);
}

function plotContestants(context: ExperimentContext, name: string, all: Record<string, Figures>): void {
    const plot = (measure: string, title: string, unit: string, read: (figures: Figures) => number) =>
        context.plot?.({
            name: `${name}-${measure}`,
            title: `${title}, ${name}`,
            unit,
            bars: Object.entries(all).map(([contestant, figures]) => ({ name: contestant, value: read(figures) })),
        });
    plot("tail", "Tail latency of services (p99)", "times the base of the service", figures => figures.tail);
    plot("throughput", "Batch work done", "core seconds", figures => figures.workDone);
    plot("evictions", "Evictions", "evictions", figures => figures.evictions);
}

function judge(context: ExperimentContext, deployment: Deployment): Check[] {
    const prefersTail = deployment.name === "tunturivalo";
    const weights = prefersTail ? TAIL_WEIGHTS : THROUGHPUT_WEIGHTS;
    const run = (name: string, factory: ContestantFactory) => runAll(context, deployment, name, factory);
    const first = run("first-fit", firstFit);
    const atRandom = run("random", randomFit);
    const unlearned = run("no-learning", createOwn(weights, false));
    const reactive = run("tail-only", tailOnly);
    const best = run("oracle", oracle);
    const informed = run("informed", createInformed(weights));
    const own = run("flamingowell", createOwn(weights, true));
    const { name } = deployment;
    const contestants = { "first-fit": first, "random": atRandom, "no-learning": unlearned, "tail-only": reactive };
    plotContestants(context, name, { ...contestants, "oracle": best, informed, "flamingowell": own });
    const oracleTail = Math.min(best.tail, informed.tail);
    const checks = [
        checkAtMost(`${name}-tail-to-oracle`, own.tail / oracleTail, "ratio", LARGEST_TAIL_TO_ORACLE, oracleTail),
        checkAtMost(`${name}-tail-to-no-learning`, own.tail / unlearned.tail, "ratio", 1, unlearned.tail),
        checkAtMost(`${name}-tail-to-random`, own.tail / atRandom.tail, "ratio", 1, atRandom.tail),
        checkAtMost(`${name}-over-capacity-of-${own.placements}`, own.capacityViolations, "placements", 0),
    ];
    const throughput = own.workDone / first.workDone;
    const evictions = own.evictions / Math.max(1, reactive.evictions);
    const tail = own.tail / first.tail;
    return prefersTail
        ? [
            checkAtMost(`${name}-tail-to-first-fit`, tail, "ratio", LARGEST_TAIL_TO_FIRST_FIT, first.tail),
            checkAtLeast(
                `${name}-throughput-to-first-fit`,
                throughput,
                "ratio",
                SMALLEST_THROUGHPUT_WITH_TAIL_WEIGHTS,
                first.workDone,
            ),
            ...checks,
        ]
        : [
            checkAtLeast(`${name}-throughput-to-first-fit`, throughput, "ratio", 1, first.workDone),
            checkAtMost(
                `${name}-evictions-to-tail-only`,
                evictions,
                "ratio",
                LARGEST_EVICTIONS_TO_TAIL_ONLY,
                reactive.evictions,
            ),
            ...checks,
        ];
}

export const experiment: Experiment = {
    name: "policy",
    summary: "service p99, batch throughput and evictions against baselines and an oracle, on both deployments",
    options: {
        seconds: { type: "string", default: String(DEFAULT_SECONDS) },
        runs: { type: "string", default: String(DEFAULT_RUNS) },
    },
    run: async context => deployments.flatMap(deployment => judge(context, deployment)),
};
