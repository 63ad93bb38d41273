/**
 * Callers' requests: each is carried to the owner of its cell, and again where the owner changes meanwhile.
 */
import Emittery from "emittery";
import { Result } from "true-myth/result";
import type { z } from "zod";
import { createFailure } from "../../core/errors.js";
import type { Failure } from "../../core/errors.js";
import type { Method } from "../../core/method.js";
import { pause } from "../../core/time.js";
import type { Clock } from "../../core/time.js";
import type { Cell } from "../cell/cell.js";
import { cancelMethod, pendingMethod, stateMethod, SubmitAnswer, submitMethod } from "../model/requests.js";
import type { JobReference, PendingAnswer, StateAnswer, SubmitRequest } from "../model/requests.js";
import type { OwnerLinks } from "./owner-links.js";

/** Longest wait for news of an owner before a request is tried again. */
const RETRY_MILLISECONDS = 100;

/** An owner that has not answered for this long is asked once more, over whatever link there is by then. */
const CALL_LIMIT_MILLISECONDS = 1_200;

/** Retry-After of a request that found no owner: a takeover takes about as long. */
const RETRY_AFTER_MILLISECONDS = 1_000;

/** What the front needs. */
export interface JobRequestRouterOptions {
    readonly cell: string;
    readonly links: OwnerLinks;
    readonly clock: Clock;
    findOwnedCell(cell: string): Cell | undefined;
}

/** Callers' requests. Failures: `ambiguous` (it may have been carried out), `unavailable` (it certainly was not). */
export interface JobRequestRouter {
    submit(request: SubmitRequest, deadline: number): Promise<Result<SubmitAnswer, Failure>>;
    state(reference: JobReference, deadline: number): Promise<Result<StateAnswer, Failure>>;
    cancel(reference: JobReference, deadline: number): Promise<Result<StateAnswer, Failure>>;
    pending(queue: string, deadline: number): Promise<Result<PendingAnswer, Failure>>;
    /** Whether the owner of the cell can be reached. */
    isConnected(): boolean;
    /** An owner has come or gone: requests that wait are tried again. */
    retryWaitingRequests(): void;
}

/** Creates the front of an instance. */
export function createJobRequestRouter(options: JobRequestRouterOptions): JobRequestRouter {
    const { cell: cellName, clock, links } = options;
    const events = new Emittery<{ changed: undefined; }>();

    /** Tries until there is an answer or the deadline passes; tells whether any try may have been carried out. */
    const route = async <Params extends z.ZodType, Answer extends z.ZodType>(
        method: Method<Params, Answer>,
        params: z.input<Params>,
        callLocally: (cell: Cell) => Promise<Result<z.output<Answer>, Failure>>,
        deadline: number,
    ): Promise<Result<z.output<Answer>, Failure>> => {
        let ambiguousFailure: Failure | undefined;
        for (;;) {
            const remainingMilliseconds = deadline - clock();
            if (remainingMilliseconds <= 0) {
                return Result.err(
                    ambiguousFailure
                        ?? createFailure("unavailable", method.name, `cell ${cellName} has no owner in reach`),
                );
            }
            const ownedCell = options.findOwnedCell(cellName);
            const link = links.find(cellName);
            const answer = ownedCell !== undefined
                ? await answerWithin(callLocally(ownedCell), remainingMilliseconds, method.name)
                : link === undefined
                ? undefined
                : await link.call(method, params, Math.min(remainingMilliseconds, CALL_LIMIT_MILLISECONDS));
            // What an earlier try may have handed over is not refused by a later one.
            if (answer?.isOk === true && (ambiguousFailure === undefined || !isRefusal(answer.value))) {
                return answer;
            }
            if (answer?.isErr === true && (answer.error.code === "ambiguous" || answer.error.code === "timeout")) {
                ambiguousFailure = createFailure("ambiguous", method.name, answer.error.message, { peer: cellName });
            }
            await Promise.race([
                events.once("changed"),
                pause(Math.min(RETRY_MILLISECONDS, Math.max(1, deadline - clock()))),
            ]);
        }
    };

    return {
        submit: async (request, deadline) => {
            const answer = await route(
                submitMethod,
                { ...request, cell: cellName },
                cell => cell.submit(request),
                deadline,
            );
            return answer.orElse((failure): Result<SubmitAnswer, Failure> =>
                failure.code === "unavailable"
                    ? Result.ok({
                        kind: "refused",
                        reason: failure.message,
                        retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS,
                    })
                    : Result.err(failure)
            );
        },
        state: (reference, deadline) =>
            route(stateMethod, { ...reference, cell: cellName }, cell => cell.state(reference), deadline),
        cancel: (reference, deadline) =>
            route(cancelMethod, { ...reference, cell: cellName }, cell => cell.cancel(reference), deadline),
        pending: (queue, deadline) =>
            route(pendingMethod, { queue, cell: cellName }, async cell => Result.ok(cell.pending(queue)), deadline),
        isConnected: () => options.findOwnedCell(cellName) !== undefined || links.find(cellName) !== undefined,
        retryWaitingRequests: () => void events.emit("changed"),
    };
}

function isRefusal(answer: unknown): boolean {
    return SubmitAnswer.safeParse(answer).data?.kind === "refused";
}

/** The owner goes on with what it was asked, but the caller is answered. */
async function answerWithin<Value>(
    answer: Promise<Result<Value, Failure>>,
    milliseconds: number,
    step: string,
): Promise<Result<Value, Failure>> {
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<Result<Value, Failure>>(resolve => {
        timer = setTimeout(
            () => resolve(Result.err(createFailure("ambiguous", step, "no answer within the caller's deadline"))),
            milliseconds,
        );
    });
    const result = await Promise.race([answer, timeout]);
    clearTimeout(timer);
    return result;
}
