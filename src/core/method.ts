/**
 * Methods between the system's own processes: declared once with the schemas of parameters and answer, which both ends
 * check. How they travel is another matter.
 */
import { JSONRPCErrorException } from "json-rpc-2.0";
import { Result } from "true-myth/result";
import type { z } from "zod";
import type { Failure } from "./errors.js";
import { parse } from "./parse.js";

/** JSON-RPC error code of every failure that carries `Failure` as its data. */
export const RPC_FAILURE_CODE = -32_000;

/** A method that both ends agree on. */
export interface Method<Params extends z.ZodType, Answer extends z.ZodType> {
    readonly name: string;
    readonly params: Params;
    readonly answer: Answer;
}

/** Declares a method. */
export function defineMethod<Params extends z.ZodType, Answer extends z.ZodType>(
    name: string,
    params: Params,
    answer: Answer,
): Method<Params, Answer> {
    return { name, params, answer };
}

/** A method with the function that carries it out. */
export interface MethodHandler {
    readonly name: string;
    handle(params: unknown): Promise<unknown>;
}

/** Joins a method and its function; parameters are checked before the function sees them. */
export function implement<Params extends z.ZodType, Answer extends z.ZodType>(
    method: Method<Params, Answer>,
    handle: (params: z.output<Params>) => Promise<Result<z.input<Answer>, Failure>>,
): MethodHandler {
    return {
        name: method.name,
        handle: async params => {
            const checked = parse(method.params, params, method.name);
            const answer = checked.isOk
                ? await handle(checked.value)
                : Result.err<z.input<Answer>, Failure>(checked.error);
            if (answer.isErr) {
                throw new JSONRPCErrorException(answer.error.message, RPC_FAILURE_CODE, answer.error);
            }
            return answer.value;
        },
    };
}
