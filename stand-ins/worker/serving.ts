/**
 * Callers' requests on a worker: checked against the attempt that they are meant for, processed, answered.
 */
import type { IncomingMessage, RequestListener, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { createRandom } from "../../src/core/random.js";
import type { Random } from "../../src/core/random.js";
import { pause } from "../../src/core/time.js";
import type { Clock } from "../../src/core/time.js";
import { headers } from "../../src/platform/worker.js";
import { checksumOf, sealAnswer } from "./answer.js";
import { isActive } from "./attempts.js";
import type { Attempts, RunningAttempt } from "./attempts.js";
import type { Interference } from "./interference.js";
import type { Recorder, WorkerRecord } from "./record.js";
import { readAll, readFacts, readHeader } from "./request.js";
import type { RequestFacts } from "./request.js";
import type { Negligence, WorkerFaults } from "./settings.js";

/** Options of the serving side. */
export interface ServingOptions {
    readonly worker: string;
    readonly seed: number;
    readonly clock: Clock;
    readonly attempts: Attempts;
    readonly interference: Interference;
    readonly faults: WorkerFaults;
    readonly ignore: readonly Negligence[];
    readonly record: Recorder;
    /** Called with each processed request's latency. */
    onLatency(attempt: RunningAttempt, milliseconds: number): void;
    /** Called when a connection has told whose it is. */
    onGateway(socket: Socket, gateway: string): void;
}

type Outcome = Extract<WorkerRecord, { event: "request-ended"; }>["outcome"];

const REFUSED_STATUS = 503;
const DEADLINE_STATUS = 504;
/** Share of answers that a negligent worker turns into refusals, or crosses. */
const DISHONEST_SHARE = 0.1;

/** Creates the handler of a worker's serving port. */
export function createServing(options: ServingOptions): RequestListener {
    const random = createRandom(options.seed);
    const last: LastAnswer = { requestId: "", text: "" };
    let runs = 0;
    return (request, response) => {
        runs += 1;
        serve(request, response, { ...options, random, run: runs, last }).catch(() => response.destroy());
    };
}

interface Serving extends ServingOptions {
    readonly random: Random;
    readonly run: number;
    readonly last: LastAnswer;
}

/** The answer before, which a crossed answer repeats. */
interface LastAnswer {
    requestId: string;
    text: string;
}

async function serve(request: IncomingMessage, response: ServerResponse, serving: Serving): Promise<void> {
    const { attempts, clock, faults } = serving;
    serving.onGateway(request.socket, readHeader(request, headers.gateway));
    const body = await readAll(request);
    if (faults.silent) {
        return;
    }
    const facts = readFacts(request);
    attempts.advance(clock());
    const attempt = findAttempt(request, facts.service, attempts);
    const refusal = findRefusal(attempt, facts, serving);
    if (attempt === undefined || refusal !== undefined) {
        refuse(response, facts, refusal ?? "attempt", serving);
        return;
    }
    await processRequest(request, response, body, { ...serving, attempt, facts });
}

interface Run extends Serving {
    readonly attempt: RunningAttempt;
    readonly facts: RequestFacts;
}

async function processRequest(
    request: IncomingMessage,
    response: ServerResponse,
    body: Buffer,
    run: Run,
): Promise<void> {
    const { attempt, clock, facts } = run;
    const arrivedAt = clock();
    recordStart(request, arrivedAt, run);
    attempt.requestsUnderWay += 1;
    const needed = drawDuration(run);
    const allowed = facts.deadline - arrivedAt;
    await pause(Math.min(needed, allowed));
    attempt.requestsUnderWay -= 1;
    const now = clock();
    // A stop that waits for its last request ends here.
    const wasActive = isActive(attempt);
    run.onLatency(attempt, now - arrivedAt);
    const outcome = wasActive ? drawOutcome(needed > allowed, run) : "lost";
    recordEnd(outcome, now, run);
    run.attempts.advance(now);
    if (run.ignore.includes("refusals") && outcome === "dropped") {
        refuse(response, facts, "attempt", run);
        return;
    }
    await answer(response, body, outcome, run);
}

function drawDuration({ attempt, facts, faults, interference, random }: Run): number {
    const profile = interference.profile(facts.service);
    const noise = 0.5 - Math.log(1 - random()) * 0.5;
    const waiting = Math.max(1, attempt.requestsUnderWay / Math.max(1, attempt.cores));
    const own = profile.requestMilliseconds * noise * attempt.slowdown * waiting
        / Math.max(0.01, attempt.throttleShare);
    return own + faults.slowMilliseconds;
}

function drawOutcome(isLate: boolean, { faults, ignore, random }: Run): Outcome {
    if (faults.silent) {
        return "silent";
    }
    if (isLate) {
        return "deadline";
    }
    let drawn = random();
    for (
        const [outcome, share] of [
            ["dropped", ignore.includes("refusals") ? DISHONEST_SHARE : faults.dropAnswers],
            ["truncated", faults.truncateAnswers],
            ["crossed", ignore.includes("request-ids") ? DISHONEST_SHARE : faults.crossAnswers],
        ] as const
    ) {
        if (drawn < share) {
            return outcome;
        }
        drawn -= share;
    }
    return "answered";
}

async function answer(response: ServerResponse, body: Buffer, outcome: Outcome, run: Run): Promise<void> {
    switch (outcome) {
        case "silent":
            return;
        case "lost":
        case "dropped":
            response.destroy();
            return;
        case "deadline":
            writeOutcome(response, run.facts.requestId, DEADLINE_STATUS, "unknown", "deadline");
            return;
        case "truncated":
        case "crossed":
        case "answered":
            await writeAnswer(response, body, outcome, run);
    }
}

async function writeAnswer(response: ServerResponse, body: Buffer, outcome: Outcome, run: Run): Promise<void> {
    const { attempt, facts, interference, last } = run;
    const own = JSON.stringify(sealAnswer({
        call: facts.call,
        service: facts.service,
        path: facts.path,
        bodyChecksum: checksumOf(body),
        worker: run.worker,
        taskId: attempt.order.taskId,
        attempt: attempt.order.attempt,
        run: run.run,
        padding: "x".repeat(interference.profile(facts.service).answerBytes),
    }));
    const { requestId, text } = outcome === "crossed" ? { ...last } : { requestId: facts.requestId, text: own };
    Object.assign(last, { requestId: facts.requestId, text: own });
    response.writeHead(200, {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(text),
        ...(run.ignore.includes("request-ids") ? {} : { [headers.requestId]: requestId }),
    });
    if (outcome !== "truncated") {
        response.end(text);
        return;
    }
    response.write(text.slice(0, Math.floor(text.length / 2)));
    // The first half is on its way before the connection goes.
    await pause(1);
    response.destroy();
}

function findAttempt(request: IncomingMessage, service: string, attempts: Attempts): RunningAttempt | undefined {
    const wanted = readHeader(request, headers.attempt);
    if (wanted === "") {
        return attempts.findService(service);
    }
    const separator = wanted.lastIndexOf("#");
    return attempts.find({ taskId: wanted.slice(0, separator), attempt: Number(wanted.slice(separator + 1)) });
}

function findRefusal(attempt: RunningAttempt | undefined, facts: RequestFacts, serving: Serving): string | undefined {
    if (serving.faults.refuse) {
        return "leaving";
    }
    if (attempt === undefined || attempt.order.kind !== "service") {
        return "attempt";
    }
    if (attempt.state !== "running") {
        return isActive(attempt) ? "leaving" : "attempt";
    }
    return facts.deadline <= serving.clock() ? "deadline" : undefined;
}

function refuse(response: ServerResponse, facts: RequestFacts, reason: string, serving: Serving): void {
    serving.record({
        event: "request-refused",
        worker: serving.worker,
        at: serving.clock(),
        service: facts.service,
        call: facts.call,
        requestId: facts.requestId,
        reason,
    });
    writeOutcome(response, facts.requestId, REFUSED_STATUS, "not-run", reason);
}

function writeOutcome(
    response: ServerResponse,
    requestId: string,
    status: number,
    outcome: string,
    reason: string,
): void {
    response.writeHead(status, {
        "content-type": "application/json",
        [headers.requestId]: requestId,
        [headers.outcome]: outcome,
        [headers.reason]: reason,
    });
    response.end(JSON.stringify({ error: { outcome, reason } }));
}

function recordStart(request: IncomingMessage, at: number, run: Run): void {
    run.record({
        event: "request-started",
        ...describeRun(run, at),
        method: request.method ?? "",
        path: run.facts.path,
        idempotencyKey: readHeader(request, "idempotency-key"),
        gateway: readHeader(request, headers.gateway),
        deadline: run.facts.deadline,
    });
}

function recordEnd(outcome: Outcome, at: number, run: Run): void {
    run.record({ event: "request-ended", ...describeRun(run, at), outcome });
}

function describeRun({ attempt, facts, run, worker }: Run, at: number) {
    return {
        worker,
        at,
        taskId: attempt.order.taskId,
        attempt: attempt.order.attempt,
        service: facts.service,
        requestId: facts.requestId,
        call: facts.call,
        run,
    };
}
