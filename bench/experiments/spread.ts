/**
 * Time from an accepted apply to its being in force on the last of many processes.
 *
 * Every process stamps the moment at which its source of rules told of a revision; all share one machine's clock. The
 * start is taken before the apply is sent, so that the figure holds the commit as well.
 */
import { operatorsOf, startFleet, waitFor } from "../../features/membership/fleet.js";
import type { Fleet, NodeReport } from "../../features/membership/fleet.js";
import { MILLISECONDS_PER_SECOND, systemClock } from "../../src/core/time.js";
import { applyRules } from "../../src/operator/messages.js";
import type { Check, Experiment, ExperimentContext } from "../support/experiment.js";
import { toShares } from "../support/report/curves.js";
import type { PlotSeries } from "../support/report/plot.js";

const TODAY_BOUND_SECONDS = 2;
const TARGET_BOUND_SECONDS = 11;
const DEFAULT_APPLIES = 20;
const TEAMS = 5;
const OUTAGE_MILLISECONDS = 1_500;
const SLOW_STORE_MILLISECONDS = 200;

interface Accepted {
    readonly team: string;
    readonly revision: number;
    readonly sentAt: number;
}

interface Phase {
    readonly name: string;
    readonly boundSeconds: number;
    /** Changes the store's faults around each apply. */
    before(fleet: Fleet): void;
    after(fleet: Fleet): Promise<void>;
}

const steady: Phase = {
    name: "store up",
    boundSeconds: TODAY_BOUND_SECONDS,
    before: () => undefined,
    after: () => Promise.resolve(),
};

const slow: Phase = {
    name: `store slow by ${SLOW_STORE_MILLISECONDS} ms`,
    boundSeconds: TODAY_BOUND_SECONDS,
    before: fleet => fleet.store.setFaults({ slowMilliseconds: SLOW_STORE_MILLISECONDS }),
    after: async fleet => fleet.store.setFaults({ slowMilliseconds: 0 }),
};

const cut: Phase = {
    name: "store cut right after acceptance",
    boundSeconds: TARGET_BOUND_SECONDS,
    before: () => undefined,
    after: async fleet => {
        fleet.store.setFaults({ down: "reset" });
        await new Promise(resolve => setTimeout(resolve, OUTAGE_MILLISECONDS));
    },
};

export const experiment: Experiment = {
    name: "spread",
    summary: "time from an accepted apply to its being in force on the last process, also with the store cut",
    options: {
        processes: { type: "string" },
        applies: { type: "string" },
    },
    async run(context) {
        const sizes = String(context.values["processes"] ?? "18,60").split(",").map(Number);
        const checks: Check[] = [];
        const spreads: PlotSeries[] = [];
        for (const size of sizes) {
            checks.push(...await measure(context, size, spreads));
        }
        context.plot?.({
            name: "spread",
            title: "Time until a change is in force on the last process",
            xLabel: "share of applies, %",
            yLabel: "seconds",
            series: spreads,
        });
        return checks;
    },
};

async function measure(context: ExperimentContext, size: number, spreads: PlotSeries[]): Promise<Check[]> {
    const fleet = await startFleet({ instances: size / 2, seed: context.seed });
    try {
        await waitFor("every process knows its peers", async () => {
            const reports = await readAll(fleet);
            return reports.every(report => report.revision >= 0 && report.members.length === size - 1);
        });
        const checks: Check[] = [];
        for (const phase of [steady, slow, cut]) {
            checks.push(...await runPhase(context, fleet, phase, spreads));
        }
        checks.push(...countReversions(await readAll(fleet), size));
        return checks;
    }
    finally {
        await fleet.stop();
    }
}

async function runPhase(
    context: ExperimentContext,
    fleet: Fleet,
    phase: Phase,
    spreads: PlotSeries[],
): Promise<Check[]> {
    const applies = Number(context.values["applies"] ?? DEFAULT_APPLIES);
    const seconds: number[] = [];
    for (let index = 0; index < applies; index += 1) {
        phase.before(fleet);
        const accepted = await applyOnce(fleet, index, phase.name);
        await phase.after(fleet);
        await waitFor(
            `revision ${accepted.revision} is everywhere`,
            async () => (await readAll(fleet)).every(report => findArrival(report, accepted) !== undefined),
        );
        const reports = await readAll(fleet);
        const last = Math.max(...reports.map(report => findArrival(report, accepted) ?? Infinity));
        seconds.push((last - accepted.sentAt) / MILLISECONDS_PER_SECOND);
        fleet.store.setFaults({ down: "no" });
    }
    seconds.sort((left, right) => left - right);
    spreads.push(toShares(`${fleet.nodes.length}, ${phase.name}`, seconds));
    const median = seconds[Math.floor(seconds.length / 2)] ?? Infinity;
    const largest = seconds.at(-1) ?? Infinity;
    const label = `${fleet.nodes.length} processes, ${phase.name}`;
    context.progress(`${label}: median ${median.toFixed(3)} s, maximum ${largest.toFixed(3)} s of ${applies} applies`);
    return [
        toCheck(`${label}: median`, median, phase.boundSeconds),
        toCheck(`${label}: maximum of ${applies} applies`, largest, phase.boundSeconds),
    ];
}

function toCheck(name: string, figure: number, bound: number): Check {
    return { name, figure, unit: "s", bound, holds: figure <= bound };
}

async function applyOnce(fleet: Fleet, index: number, phase: string): Promise<Accepted> {
    const gateways = fleet.nodes.filter(node => node.name.endsWith("/gateway"));
    const team = `team-${index % TEAMS}`;
    const [first] = await readAll(fleet, 1);
    const known = first?.revisions.filter(seen => seen.team === team).map(seen => seen.revision) ?? [];
    const sentAt = systemClock();
    const answer = await fleet.rpc.call(operatorsOf(gateways[index % gateways.length]), applyRules, {
        team,
        text: `service ${team} --replicas ${index + 1} --cores 1 --memory 1GiB --until 2999-01-01 # ${phase}`,
        baseRevision: Math.max(0, ...known),
        applyId: `${phase}-${index}`,
        by: "bench",
    });
    if (answer.isErr || answer.value.outcome !== "accepted") {
        throw new Error(`an apply was not accepted: ${JSON.stringify(answer)}`);
    }
    return { team, revision: answer.value.revision, sentAt };
}

function findArrival(report: NodeReport, { team, revision }: Accepted): number | undefined {
    return report.revisions.find(seen => seen.team === team && seen.revision >= revision)?.at;
}

async function readAll(fleet: Fleet, limit = fleet.nodes.length): Promise<NodeReport[]> {
    return Promise.all(fleet.nodes.slice(0, limit).map(node => fleet.read(node)));
}

/** A reversion is a team's revision that a process took into force after a higher one. */
function countReversions(reports: readonly NodeReport[], size: number): Check[] {
    let opportunities = 0;
    let reversions = 0;
    for (const { revisions } of reports) {
        const highest = new Map<string, number>();
        for (const { team, revision } of revisions) {
            opportunities += highest.has(team) ? 1 : 0;
            reversions += revision < (highest.get(team) ?? 0) ? 1 : 0;
            highest.set(team, Math.max(revision, highest.get(team) ?? 0));
        }
    }
    return [{
        name: `${size} processes: reversions in ${opportunities} changes`,
        figure: reversions,
        unit: "reversions",
        bound: 0,
        holds: reversions === 0 && opportunities > 0,
    }];
}
