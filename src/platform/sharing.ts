/**
 * An instance list that the parts of a process share: a list that was read a moment ago serves all of them.
 */
import type { Clock } from "../core/time.js";
import type { InstanceList } from "./instances.js";

type Listing = ReturnType<InstanceList["list"]>;

/** Options of the shared list. */
export interface SharedInstanceListOptions {
    readonly clock: Clock;
    /** A list is read again once it is older. */
    readonly freshMilliseconds: number;
}

/** Wraps an instance list; a failure is not kept. */
export function shareInstanceList(list: InstanceList, options: SharedInstanceListOptions): InstanceList {
    let listing: Listing | undefined;
    let readAtMilliseconds = 0;
    return {
        list: async () => {
            const now = options.clock();
            if (listing === undefined || now - readAtMilliseconds > options.freshMilliseconds) {
                readAtMilliseconds = now;
                listing = list.list();
            }
            const current = listing;
            const answer = await current;
            if (answer.isErr && listing === current) {
                listing = undefined;
            }
            return answer;
        },
    };
}
