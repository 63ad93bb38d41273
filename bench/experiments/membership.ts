/**
 * Membership: traffic of a process as the fleet grows, time to detect a death, false suspicions under message loss.
 */
import { startFleet, waitFor } from "../../features/membership/fleet.js";
import type { Fleet, FleetNode, NodeReport } from "../../features/membership/fleet.js";
import { MILLISECONDS_PER_SECOND, systemClock } from "../../src/core/time.js";
import { getMemberName } from "../../src/membership/member.js";
import type { Check, Experiment, ExperimentContext } from "../support/experiment.js";

const DEFAULT_SIZES = "10,30,100";
const DEFAULT_SECONDS = 15;
const TRAFFIC_BOUND_BYTES_PER_SECOND = 14_000;
const MEMORY_BOUND_BYTES = 128_000_000;
const PROCESSOR_BOUND_SHARE = 0.047;
/** Flat: the largest fleet's traffic per process is at most this multiple of the smallest one's. */
const FLAT_BOUND = 1.5;
const DETECTION_BOUND_SECONDS = 11;
const LOSS_SHARE = 0.05;
/** Losses of several messages in a row are rare, so this phase takes several times as long as the others. */
const LOSS_ROUNDS = 4;
const DEATHS = 3;

export const experiment: Experiment = {
    name: "membership",
    summary: "bytes a second per process as the fleet grows, time to detect a death, false deaths with 5 % loss",
    options: { processes: { type: "string" }, seconds: { type: "string" } },
    async run(context) {
        const sizes = String(context.values["processes"] ?? DEFAULT_SIZES).split(",").map(Number);
        const checks: Check[] = [];
        const traffic: number[] = [];
        for (const size of sizes) {
            const measured = await measure(context, size);
            traffic.push(measured.bytesPerSecond);
            checks.push(...measured.checks);
        }
        const [smallest = 0] = traffic;
        const growth = (traffic.at(-1) ?? 0) / smallest;
        const name = `traffic per process at ${sizes.at(-1)} processes against ${sizes[0]}`;
        return [...checks, toCheck(name, growth, "times", FLAT_BOUND, 1)];
    },
};

function toCheck(name: string, figure: number, unit: string, bound: number, baseline?: number): Check {
    return { name, figure, unit, bound, ...(baseline === undefined ? {} : { baseline }), holds: figure <= bound };
}

interface Measured {
    readonly bytesPerSecond: number;
    readonly checks: Check[];
}

async function measure(context: ExperimentContext, size: number): Promise<Measured> {
    const fleet = await startFleet({ instances: size / 2, seed: context.seed });
    try {
        await waitFor("every process knows its peers", async () => {
            const reports = await readRunning(fleet);
            return reports.every(report => report.members.length === size - 1 && report.revision >= 0);
        });
        const quiet = await measureTraffic(context, fleet);
        const loss = await measureLoss(context, fleet);
        const death = await measureDeaths(context, fleet);
        return { bytesPerSecond: quiet.bytesPerSecond, checks: [...quiet.checks, ...loss, ...death] };
    }
    finally {
        await fleet.stop();
    }
}

async function readRunning(fleet: Fleet): Promise<NodeReport[]> {
    return Promise.all(fleet.nodes.filter(node => node.running).map(node => fleet.read(node)));
}

async function rest(context: ExperimentContext): Promise<void> {
    const seconds = Number(context.values["seconds"] ?? DEFAULT_SECONDS);
    await new Promise(resolve => setTimeout(resolve, seconds * MILLISECONDS_PER_SECOND));
}

async function measureTraffic(context: ExperimentContext, fleet: Fleet): Promise<Measured> {
    const before = await readRunning(fleet);
    const startedAt = systemClock();
    await rest(context);
    const after = await readRunning(fleet);
    const seconds = (systemClock() - startedAt) / MILLISECONDS_PER_SECOND;
    const rise = (read: (report: NodeReport) => number) =>
        average(after.map((report, index) => read(report) - (before[index] === undefined ? 0 : read(before[index]))));
    // Each exchange is counted where it is answered; a process sends about as many as it answers.
    const bytesPerSecond = 2 * rise(report => report.bytes) / seconds;
    const share = rise(report => report.processorMicroseconds) / seconds / 1e6;
    const resident = average(after.map(report => report.residentBytes));
    const label = `${fleet.nodes.length} processes`;
    context.progress(
        `${label}: ${Math.round(bytesPerSecond)} B/s, ${(share * 100).toFixed(2)} % of a core, `
            + `${(resident / 1e6).toFixed(0)} MB each`,
    );
    return {
        bytesPerSecond,
        checks: [
            toCheck(`${label}: traffic per process`, bytesPerSecond, "B/s", TRAFFIC_BOUND_BYTES_PER_SECOND),
            toCheck(`${label}: processor per process`, share, "cores", PROCESSOR_BOUND_SHARE),
            toCheck(`${label}: resident memory per process`, resident, "bytes", MEMORY_BOUND_BYTES),
        ],
    };
}

function average(numbers: readonly number[]): number {
    return numbers.reduce((sum, number) => sum + number, 0) / numbers.length;
}

/** All processes lose messages in both directions; none is dead, so every death that is believed is false. */
async function measureLoss(context: ExperimentContext, fleet: Fleet): Promise<Check[]> {
    const probesBefore = await countProbes(fleet, "");
    const suspectedBefore = await countProbes(fleet, '"none"');
    await Promise.all(fleet.nodes.map(node => fleet.setLinks(node, { loss: LOSS_SHARE })));
    for (let round = 0; round < LOSS_ROUNDS; round += 1) {
        await rest(context);
    }
    await Promise.all(fleet.nodes.map(node => fleet.setLinks(node, {})));
    const probes = await countProbes(fleet, "") - probesBefore;
    const suspicions = await countProbes(fleet, '"none"') - suspectedBefore;
    const reports = await readRunning(fleet);
    const believed = reports.flatMap(report => report.states.filter(({ state }) => state === "dead")).length;
    const label = `${fleet.nodes.length} processes, ${LOSS_SHARE * 100} % loss`;
    context.progress(`${label}: ${suspicions} suspicions in ${probes} probes, ${believed} deaths believed`);
    return [
        toCheck(`${label}: suspicions per probe (${probes} probes)`, suspicions / probes, "share", LOSS_SHARE ** 2),
        {
            ...toCheck(`${label}: false deaths in ${probes} probes`, believed, "deaths", 0),
            holds: believed === 0 && probes > 0,
        },
    ];
}

async function countProbes(fleet: Fleet, outcome: string): Promise<number> {
    const outcomes = outcome === "" ? ['"direct"', '"repeated"', '"indirect"', '"delayed"', '"none"'] : [outcome];
    const counts = await Promise.all(
        fleet.nodes.filter(node => node.running).flatMap(node =>
            outcomes.map(label => fleet.readMetric(node, "flamingowell_membership_probes_total", label))
        ),
    );
    return counts.reduce((sum, count) => sum + count, 0);
}

async function measureDeaths(context: ExperimentContext, fleet: Fleet): Promise<Check[]> {
    const seconds: number[] = [];
    for (const victim of fleet.nodes.slice(-DEATHS)) {
        seconds.push(await detectDeath(fleet, victim));
    }
    const label = `${fleet.nodes.length} processes`;
    const largest = Math.max(...seconds);
    context.progress(`${label}: a death is known everywhere after at most ${largest.toFixed(2)} s of ${DEATHS}`);
    return [toCheck(`${label}: death known everywhere, maximum of ${DEATHS}`, largest, "s", DETECTION_BOUND_SECONDS)];
}

async function detectDeath(fleet: Fleet, victim: FleetNode): Promise<number> {
    const startedAt = systemClock();
    await fleet.kill(victim);
    await waitFor(`${victim.name} is known to be dead`, async () => {
        const reports = await readRunning(fleet);
        return reports.every(({ members }) =>
            members.find(member => getMemberName(member) === victim.name)?.state === "dead"
        );
    });
    return (systemClock() - startedAt) / MILLISECONDS_PER_SECOND;
}
