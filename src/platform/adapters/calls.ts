/**
 * JSON calls over HTTP to the platform's instance list and workers.
 */
import { Result } from "true-myth/result";
import { request } from "undici";
import type { Dispatcher } from "undici";
import { z } from "zod";
import { createFailure, describeThrown, Failure } from "../../core/errors.js";
import { parse } from "../../core/parse.js";
import { createTimeout } from "../../core/time.js";

/** A call; without a body it is a GET. */
export interface JsonCall<Schema extends z.ZodType> {
    readonly url: string;
    readonly body?: unknown;
    readonly schema: Schema;
    readonly timeoutMilliseconds: number;
    readonly dispatcher: Dispatcher;
}

/** Shape of a refusal: any status but 200, with the failure as the body. */
const Refusal = z.object({ error: Failure });

/** Makes a call. Failures: those that the other end names, `unavailable` (not received), `timeout`, `ambiguous`. */
export async function callJson<Schema extends z.ZodType>(
    call: JsonCall<Schema>,
): Promise<Result<z.output<Schema>, Failure>> {
    const signal = createTimeout(call.timeoutMilliseconds);
    const { origin: peer, pathname: step } = new URL(call.url);
    try {
        const answer = await request(call.url, {
            ...(call.body === undefined
                ? { method: "GET" as const }
                : {
                    method: "POST" as const,
                    headers: { "content-type": "application/json" },
                    body: JSON.stringify(call.body),
                }),
            signal,
            dispatcher: call.dispatcher,
        });
        const content = await answer.body.json();
        if (answer.statusCode === 200) {
            return parse(call.schema, content, step).mapErr(failure => ({ ...failure, code: "internal", peer }));
        }
        const refusal = Refusal.safeParse(content);
        return refusal.success
            ? Result.err({ ...refusal.data.error, peer })
            : Result.err(createFailure("internal", step, `status ${answer.statusCode}`, { peer }));
    }
    catch (thrown) {
        return Result.err(toFailure(thrown, step, peer, signal.aborted));
    }
}

function toFailure(thrown: unknown, step: string, peer: string, timedOut: boolean): Failure {
    if (timedOut) {
        return createFailure("timeout", step, "no answer within the time limit", { peer });
    }
    const refused = (thrown as { code?: unknown; }).code === "ECONNREFUSED";
    return createFailure(refused ? "unavailable" : "ambiguous", step, describeThrown(thrown), { peer });
}
