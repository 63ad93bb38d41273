/**
 * Routes callers' requests to the owner of their cell and retries them when the owner changes.
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
import { isStorable } from "../ledger/ledger.js";
import { cancelMethod, pendingMethod, stateMethod, SubmitAnswer, submitMethod, UNSTORABLE } from "../model/requests.js";
import type { JobReference, PendingAnswer, StateAnswer, SubmitRequest } from "../model/requests.js";
import type { OwnerLinks } from "./owner-links.js";

/** Longest wait for a change of owner before a request is retried. */
const RETRY_MILLISECONDS = 100;

/** Time limit of one call to an owner. After it, the request is retried over the link that is open then. */
const CALL_LIMIT_MILLISECONDS = 1_200;

/** Retry delay suggested to a caller when the cell has no owner; about the duration of a takeover. */
const RETRY_AFTER_MILLISECONDS = 1_000;

/** Options of a request router. */
export interface JobRequestRouterOptions {
    readonly cell: string;
    readonly links: OwnerLinks;
    readonly clock: Clock;
    findOwnedCell(cell: string): Cell | undefined;
}

/** Routes requests to the owner. Failures: `ambiguous` (may have been executed), `unavailable` (was not executed). */
export interface JobRequestRouter {
    submit(request: SubmitRequest, deadline: number): Promise<Result<SubmitAnswer, Failure>>;
    state(reference: JobReference, deadline: number): Promise<Result<StateAnswer, Failure>>;
    cancel(reference: JobReference, deadline: number): Promise<Result<StateAnswer, Failure>>;
    pending(queue: string, deadline: number): Promise<Result<PendingAnswer, Failure>>;
    /** Whether the owner of the cell can be reached. */
    isConnected(): boolean;
    /** Retries waiting requests at once. Called when an owner or a link changes. */
    retryWaitingRequests(): void;
}

/** Creates the request router of an instance. */
export function createJobRequestRouter(options: JobRequestRouterOptions): JobRequestRouter {
    const { cell: cellName, clock, links } = options;
    const events = new Emittery<{ changed: undefined; }>();

    /** Retries until an answer or the deadline. Fails as `ambiguous` if any try may have been executed. */
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
                        ?? createFailure("unavailable", method.name, `cell ${cellName} has no reachable owner`),
                );
            }
            const ownedCell = options.findOwnedCell(cellName);
            const link = links.find(cellName);
            const answer = ownedCell !== undefined
                ? await answerWithin(callLocally(ownedCell), remainingMilliseconds, method.name)
                : link === undefined
                ? undefined
                : await link.call(method, params, Math.min(remainingMilliseconds, CALL_LIMIT_MILLISECONDS));
            // An earlier try may have submitted the job, so a later refusal is not definite.
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
            // Decoded, a job has many times the length of the caller's text, and would not fit into a line to the owner either.
            if (!isStorable(request.submission)) {
                return Result.ok(UNSTORABLE);
            }
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

/** Limits the wait for an answer. The owner still completes the request after the limit. */
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
