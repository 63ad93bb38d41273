/**
 * Instance list adapter: `GET /instances` answers with a JSON array, or with 304 where the list has not changed since
 * the one whose entity tag the request names.
 */
import { Result } from "true-myth/result";
import { Agent } from "undici";
import * as z from "zod";
import { PlatformInstance } from "../instances.js";
import type { InstanceList } from "../instances.js";
import { callJsonIfChanged } from "./calls.js";

/** Options of the adapter. */
export interface InstanceListOptions {
    readonly origin: string;
    readonly timeoutMilliseconds: number;
}

/** Creates the adapter. */
export function createInstanceList(options: InstanceListOptions): InstanceList {
    const dispatcher = new Agent();
    let known: { readonly tag: string; readonly instances: readonly PlatformInstance[]; } | undefined;
    return {
        async list() {
            const asked = known;
            const answer = await callJsonIfChanged({
                url: `${options.origin}/instances`,
                schema: z.array(PlatformInstance),
                timeoutMilliseconds: options.timeoutMilliseconds,
                dispatcher,
                ...(asked === undefined ? {} : { knownTag: asked.tag }),
            });
            if (answer.isErr) {
                return Result.err(answer.error);
            }
            if (answer.value.kind === "unchanged") {
                return Result.ok(asked?.instances ?? []);
            }
            const { tag, value } = answer.value;
            known = tag === undefined ? undefined : { tag, instances: value };
            return Result.ok(value);
        },
    };
}
