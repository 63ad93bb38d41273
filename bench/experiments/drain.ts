/**
 * Gateways restarted one after another under load: no request is cut off, none runs twice.
 */
import { request } from "undici";
import { pause } from "../../src/core/time.js";
import type { RunningProcess } from "../../stand-ins/processes.js";
import { runOpenLoad } from "../request/open.js";
import { waitUntilServing, withProcesses } from "../request/processes.js";
import type { BenchProcesses } from "../request/processes.js";
import { READY_PATH } from "../request/settings.js";
import { SERVICE } from "../request/sources.js";
import { checkAtLeast, checkAtMost } from "../support/experiment.js";
import type { Check, Experiment, ExperimentContext } from "../support/experiment.js";
import { plotLatencies } from "../support/report/curves.js";

const MICROSECONDS_PER_MILLISECOND = 1_000;
const GATEWAYS = 9;
const UPSTREAMS = 4;
const WORK_MILLISECONDS = 30;
const ANSWER_BYTES = 200;
const PER_SECOND = 150;
const DEADLINE_MILLISECONDS = 2_000;
const LONGEST_LOAD_MILLISECONDS = 120_000;
/** The balancer's interval between looks at each gateway's readiness. */
const BALANCER_MILLISECONDS = 250;

export const experiment: Experiment = {
    name: "drain",
    summary: "9 gateways restarted one after another under load: requests cut off or run twice",
    options: { kill: { type: "boolean", default: false } },
    run: context => withProcesses(processes => measure(processes, context)),
};

async function measure(processes: BenchProcesses, context: ExperimentContext): Promise<Check[]> {
    await processes.startUpstreams({
        upstreams: UPSTREAMS,
        connections: 64,
        answerBytes: ANSWER_BYTES,
        parallel: 64,
        workMilliseconds: WORK_MILLISECONDS,
    });
    const gateways: RunningProcess[] = [];
    for (let index = 0; index < GATEWAYS; index += 1) {
        gateways.push(await startServing(processes, `entry-${index + 1}`));
    }
    const ended = new AbortController();
    const balancer = { origins: gateways.map(({ announcement }) => announcement["callers"] ?? "") };
    const balancing = balance(gateways, balancer, ended.signal);
    const load = runOpenLoad({
        seed: context.seed,
        name: "call",
        origins: () => balancer.origins,
        perSecond: PER_SECOND,
        durationMilliseconds: LONGEST_LOAD_MILLISECONDS,
        deadlineMilliseconds: DEADLINE_MILLISECONDS,
        answerBytes: ANSWER_BYTES,
        method: "POST",
        signal: ended.signal,
    });
    let restarts = 0;
    for (let index = 0; index < GATEWAYS; index += 1) {
        const gateway = gateways[index];
        // Killing instead of stopping shows that the check notices requests that are cut off.
        const exit = await (context.values["kill"] === true ? gateway?.kill() : gateway?.stop());
        gateways[index] = await startServing(processes, `entry-${index + 1}`);
        restarts += 1;
        context.progress(`entry-${index + 1} ended with ${String(exit ?? "SIGKILL")} and is back`);
    }
    ended.abort();
    const result = await load;
    await balancing;
    const facts = await processes.readFacts();
    context.plot?.(plotLatencies(
        "latency",
        "Latency while all gateways are restarted",
        [{ name: "answers", histogram: result.latency }],
        MICROSECONDS_PER_MILLISECOND,
    ));
    const tail = Math.round(result.latency.getValueAtPercentile(99) / 1_000);
    context.progress(
        `${result.sent} sent, ${result.good} in time, ${result.late} late, ${result.notRun} not run, `
            + `${result.unknown} unknown, ${result.refused} without a gateway, p99 ${tail} ms`,
    );
    return [
        checkAtLeast("gateways restarted under load (opportunities)", restarts, "gateways", GATEWAYS),
        checkAtMost("requests cut off", result.cut + result.unknown, "requests", 0),
        checkAtMost("requests without an answer", result.sent - result.good - result.late, "requests", 0),
        checkAtMost("requests run twice", facts.doubled, "requests", 0),
        checkAtMost("most connections on one worker", facts.peakConnections, "connections", 64),
    ];
}

async function startServing(processes: BenchProcesses, instance: string): Promise<RunningProcess> {
    const gateway = await processes.startGateway(instance);
    await waitUntilServing(gateway.announcement["callers"] ?? "", `/${SERVICE}/kits/17`);
    return gateway;
}

/** Does what the platform's balancer does: gives callers the gateways that were ready at the last look. */
async function balance(
    gateways: readonly RunningProcess[],
    balancer: { origins: string[]; },
    signal: AbortSignal,
): Promise<void> {
    while (!signal.aborted) {
        const ready = await Promise.all(gateways.map(isReady));
        balancer.origins = gateways.filter((gateway, index) => ready[index]).map(({ announcement }) =>
            announcement["callers"] ?? ""
        );
        await pause(BALANCER_MILLISECONDS, signal);
    }
}

async function isReady({ announcement }: RunningProcess): Promise<boolean> {
    try {
        const answer = await request((announcement["metrics"] ?? "") + READY_PATH);
        await answer.body.dump();
        return answer.statusCode === 200;
    }
    catch {
        // A process that has ended is not ready.
        return false;
    }
}
