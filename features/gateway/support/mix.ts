/**
 * Random mixes of calls to upstreams with faults, and the promises that their callers rely on.
 */
import * as fc from "fast-check";
import { answerWhole } from "./upstream.js";
import type { Behaviour } from "./upstream.js";
import type { ReceivedAnswer } from "./world.js";

const LATE_MILLISECONDS = 5;
const MOST_CALLS = 30;
const MOST_ATTEMPTS = 3;

/** What an upstream does with one attempt of a request. */
export type UpstreamFault = "none" | "late" | "refused" | "truncated" | "crossed" | "lost";

const UPSTREAM_FAULTS = ["none", "none", "late", "refused", "truncated", "crossed", "lost"] as const;

/** A call with what becomes of its attempts, in their order; the last stands for all further ones. */
export interface MixedCall {
    readonly method: "GET" | "POST";
    readonly faults: readonly UpstreamFault[];
}

/** Draws mixes of calls. */
export const callMixes: fc.Arbitrary<MixedCall[]> = fc.array(
    fc.record({
        method: fc.constantFrom("GET" as const, "POST" as const),
        faults: fc.array(fc.constantFrom(...UPSTREAM_FAULTS), { minLength: 1, maxLength: MOST_ATTEMPTS }),
    }),
    { minLength: 1, maxLength: MOST_CALLS },
);

/** Gives the path of the call with an index in the mix with a name. */
export function nameCall(mix: string, index: number): string {
    return `/kits/${mix}-${index}`;
}

/** What upstreams have run, and how they behave. */
export interface MixedUpstreams {
    readonly behaviour: Behaviour;
    /** Sets the calls that come next. */
    expect(mix: string, calls: readonly MixedCall[]): void;
    runs(path: string): number;
}

/** Creates the behaviour that all upstreams of a scenario share. */
export function createMixedUpstreams(): MixedUpstreams {
    const runs = new Map<string, number>();
    const attempts = new Map<string, number>();
    let faults = new Map<string, readonly UpstreamFault[]>();
    return {
        runs: path => runs.get(path) ?? 0,
        expect: (mix, calls) => {
            faults = new Map(calls.map((call, index) => [nameCall(mix, index), call.faults]));
        },
        behaviour: (request, socket) => {
            const drawn = faults.get(request.path) ?? ["none"];
            const attempt = attempts.get(request.path) ?? 0;
            attempts.set(request.path, attempt + 1);
            const fault = drawn[Math.min(attempt, drawn.length - 1)] ?? "none";
            if (fault !== "refused") {
                runs.set(request.path, (runs.get(request.path) ?? 0) + 1);
            }
            behaviours[fault](request, socket);
        },
    };
}

const behaviours: Record<UpstreamFault, Behaviour> = {
    none: answerWhole,
    late: (request, socket) => {
        setTimeout(() => answerWhole(request, socket), LATE_MILLISECONDS);
    },
    refused: (request, socket) => {
        socket.write(
            "HTTP/1.1 503 Busy\r\ncontent-length: 0\r\nflamingowell-outcome: not-run\r\nflamingowell-reason: busy\r\n\r\n",
        );
    },
    truncated: (request, socket) => {
        const id = request.headers.get("flamingowell-request-id") ?? "";
        socket.end(`HTTP/1.1 200 OK\r\nflamingowell-request-id: ${id}\r\ncontent-length: 1000\r\n\r\nanswer to`);
    },
    crossed: (request, socket) => {
        socket.write("HTTP/1.1 200 OK\r\nflamingowell-request-id: another\r\ncontent-length: 5\r\n\r\nother");
    },
    lost: (request, socket) => {
        socket.destroy();
    },
};

/** Tells which promises are broken by what a caller saw and what ran. */
export function findViolations(path: string, body: string, answer: ReceivedAnswer, runs: number): string[] {
    const violations: string[] = [];
    if (runs > 1) {
        violations.push(`${path} ran ${runs} times`);
    }
    if (answer.status === 200 && answer.body !== `answer to ${path} with ${body}`) {
        violations.push(`${path} was answered with "${answer.body}"`);
    }
    if (answer.outcome === "not-run" && runs > 0) {
        violations.push(`${path} was refused as not run and ran`);
    }
    if (answer.status !== 200 && answer.error === undefined && answer.outcome === undefined) {
        violations.push(`${path} failed with status ${answer.status} and no outcome`);
    }
    return violations;
}
