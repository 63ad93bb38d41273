/**
 * Instance list adapter: `GET /instances` answers with a JSON array.
 */
import { Agent } from "undici";
import { z } from "zod";
import { PlatformInstance } from "../instances.js";
import type { InstanceList } from "../instances.js";
import { callJson } from "./calls.js";

/** Options of the adapter. */
export interface InstanceListOptions {
    readonly origin: string;
    readonly timeoutMilliseconds: number;
}

/** Creates the adapter. */
export function createInstanceList(options: InstanceListOptions): InstanceList {
    const dispatcher = new Agent();
    return {
        list: () =>
            callJson({
                url: `${options.origin}/instances`,
                schema: z.array(PlatformInstance),
                timeoutMilliseconds: options.timeoutMilliseconds,
                dispatcher,
            }),
    };
}
