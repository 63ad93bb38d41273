/**
 * JSON calls over HTTP to the platform's instance list and workers.
 */
import { Result } from "true-myth/result";
import { request } from "undici";
import type { Dispatcher } from "undici";
import * as z from "zod";
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
    /** Entity tag of the content that the caller has; the answer to a GET of the same content is `unchanged`. */
    readonly knownTag?: string;
}

/** Answer to a call. */
export type JsonAnswer<Value> =
    | { readonly kind: "unchanged"; }
    | {
        readonly kind: "content";
        readonly value: Value;
        /** Entity tag of the content, where the other end gives one. */
        readonly tag: string | undefined;
    };

const NOT_MODIFIED_STATUS = 304;

/** Shape of a refusal: any status but 200, with the failure as the body. */
const Refusal = z.object({ error: Failure });

/** Makes a call. Failures: those that the other end names, `unavailable` (not received), `timeout`, `ambiguous`. */
export async function callJson<Schema extends z.ZodType>(
    call: Omit<JsonCall<Schema>, "knownTag">,
): Promise<Result<z.output<Schema>, Failure>> {
    const answer = await callJsonIfChanged(call);
    return answer.andThen(found =>
        found.kind === "content"
            ? Result.ok<z.output<Schema>, Failure>(found.value)
            : Result.err(createFailure("internal", call.url, "content left out although none is known"))
    );
}

/** Makes a call that leaves out content which the caller has; failures as of `callJson`. */
export async function callJsonIfChanged<Schema extends z.ZodType>(
    call: JsonCall<Schema>,
): Promise<Result<JsonAnswer<z.output<Schema>>, Failure>> {
    const signal = createTimeout(call.timeoutMilliseconds);
    const { origin: peer, pathname: step } = new URL(call.url);
    try {
        const answer = await request(call.url, {
            ...(call.body === undefined
                ? {
                    method: "GET" as const,
                    headers: call.knownTag === undefined ? {} : { "if-none-match": call.knownTag },
                }
                : {
                    method: "POST" as const,
                    headers: { "content-type": "application/json" },
                    body: JSON.stringify(call.body),
                }),
            signal,
            dispatcher: call.dispatcher,
        });
        if (answer.statusCode === NOT_MODIFIED_STATUS && call.knownTag !== undefined) {
            await answer.body.dump();
            return Result.ok({ kind: "unchanged" });
        }
        const content = await answer.body.json();
        if (answer.statusCode === 200) {
            const tag = readTag(answer.headers["etag"]);
            return parse(call.schema, content, step)
                .map((value): JsonAnswer<z.output<Schema>> => ({ kind: "content", value, tag }))
                .mapErr(failure => ({ ...failure, code: "internal", peer }));
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

function readTag(header: string | string[] | undefined): string | undefined {
    return typeof header === "string" ? header : undefined;
}

function toFailure(thrown: unknown, step: string, peer: string, timedOut: boolean): Failure {
    if (timedOut) {
        return createFailure("timeout", step, "no answer within the time limit", { peer });
    }
    const refused = (thrown as { code?: unknown; }).code === "ECONNREFUSED";
    return createFailure(refused ? "unavailable" : "ambiguous", step, describeThrown(thrown), { peer });
}
