/**
 * Time without service of exclusive requests, and overlaps, for the ways of holding partitions that were weighed.
 */
import { runExclusiveScenario } from "../exclusive/scenario.js";
import type { ExclusiveFault, ExclusiveOutcome } from "../exclusive/scenario.js";
import { judgeAll } from "../support/checker/index.js";
import { checkAtMost } from "../support/experiment.js";
import type { Check, Experiment, ExperimentContext } from "../support/experiment.js";

const MILLISECONDS_PER_SECOND = 1_000;
const CALLS_PER_SECOND = 120;
const KEYS = 24;
const DURATION_MILLISECONDS = 60_000;
const SETTLING_MILLISECONDS = 8_000;
/** Longest time without an answer that callers of one key may see when a gateway's process crashes and is restarted. */
const CRASH_BOUND_SECONDS = 6.8;
const SILENCE_MILLISECONDS = 8_000;
const OUTAGE_MILLISECONDS = 12_000;
const DEADLINE_SECONDS = 2;

/** A way of holding partitions. */
interface Way {
    readonly name: string;
    readonly settings: object;
}

const CHOSEN: Way = { name: "horizon and proof of death", settings: {} };
const SHORT_LEASE: Way = {
    name: "short lease",
    settings: { horizonMilliseconds: 5_000, refreshMilliseconds: 500, acceptProofOfDeath: false },
};

const FAULTS: readonly ExclusiveFault[] = [
    { kind: "crash", atMilliseconds: 6_000, restartMilliseconds: 1_000 },
    { kind: "silence", atMilliseconds: 20_000, lastsMilliseconds: SILENCE_MILLISECONDS },
    { kind: "outage", atMilliseconds: 38_000, lastsMilliseconds: OUTAGE_MILLISECONDS },
];

/** What one way showed. */
interface WayFigures {
    readonly overlaps: number;
    readonly opportunities: number;
    /** Longest time without an answer for one key, in seconds, in the order of the faults. */
    readonly gapSeconds: readonly number[];
}

export const experiment: Experiment = {
    name: "exclusive",
    summary: "time without service and overlaps of exclusive requests under a crash, a silent instance, a store outage",
    options: {},
    run,
};

async function run(context: ExperimentContext): Promise<Check[]> {
    const lease = await measure(SHORT_LEASE, context);
    const chosen = await measure(CHOSEN, context);
    const [crash = 0, silence = 0, outage = 0] = chosen.gapSeconds;
    const [crashLease = 0, silenceLease = 0, outageLease = 0] = lease.gapSeconds;
    const silenceBound = SILENCE_MILLISECONDS / MILLISECONDS_PER_SECOND + DEADLINE_SECONDS;
    return [
        checkAtMost("overlaps", chosen.overlaps, "overlaps", 0, lease.overlaps),
        checkAtMost("process crash: longest time without service", crash, "s", CRASH_BOUND_SECONDS, crashLease),
        checkAtMost("silent instance: longest time without service", silence, "s", silenceBound, silenceLease),
        checkAtMost("store outage: longest time without service", outage, "s", DEADLINE_SECONDS, outageLease),
    ];
}

async function measure(way: Way, context: ExperimentContext): Promise<WayFigures> {
    const outcome = await runExclusiveScenario({
        seed: context.seed,
        durationMilliseconds: DURATION_MILLISECONDS,
        callsPerSecond: CALLS_PER_SECOND,
        keys: KEYS,
        settings: way.settings,
        exclusive: true,
        faults: FAULTS,
    });
    const verdict = judgeAll(outcome.evidence).find(({ promise }) => promise === "exclusive requests never overlap");
    const figures = {
        overlaps: verdict?.violations.length ?? 0,
        opportunities: verdict?.opportunities ?? 0,
        gapSeconds: FAULTS.map(fault => findLongestGap(fault, outcome)),
    };
    const gaps = FAULTS.map((fault, index) => `${fault.kind} ${figures.gapSeconds[index]?.toFixed(2) ?? "?"} s`);
    context.progress(
        `${way.name}: ${figures.overlaps} overlaps in ${figures.opportunities} opportunities; without service: ${
            gaps.join(", ")
        }`,
    );
    return figures;
}

/** Longest time between two answers for one key around a fault, in seconds. */
function findLongestGap(fault: ExclusiveFault, outcome: ExclusiveOutcome): number {
    const from = outcome.startedAtMilliseconds + fault.atMilliseconds;
    const lasts = "lastsMilliseconds" in fault ? fault.lastsMilliseconds : 0;
    const until = from + lasts + SETTLING_MILLISECONDS;
    const keys = new Set(outcome.evidence.calls.map(call => call.key));
    const gaps = [...keys].map(key => {
        const answered = outcome.evidence.calls
            .filter(call => call.key === key && call.outcome === "answered")
            .map(call => call.endedAt)
            .filter(time => time >= from && time <= until)
            .sort((left, right) => left - right);
        const times = [from, ...answered, until];
        return Math.max(...times.slice(1).map((time, index) => time - (times[index] ?? time)));
    });
    return Math.max(...gaps) / MILLISECONDS_PER_SECOND;
}
