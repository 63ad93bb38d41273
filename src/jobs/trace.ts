/**
 * Collects the events of one request or job from the processes' event logs.
 *
 * Clocks of instances differ a little, so events of different instances within some milliseconds may be out of order.
 */
import * as z from "zod";
import { parseJson } from "../core/parse.js";

/** A line of an event log. */
export const EventLine = z.looseObject({
    time: z.iso.datetime(),
    event: z.string(),
    instance: z.string().optional(),
});
export type EventLine = z.infer<typeof EventLine>;

/** Events of a request or job, and surrounding events that may explain them. */
export interface Trace {
    /** Events of the request or job, ordered by time. */
    readonly own: readonly EventLine[];
    /** Events of owners, dependencies and the workers involved, in the same period. */
    readonly around: readonly EventLine[];
    /** Number of lines that are not events. */
    readonly unreadableLines: number;
}

/** Period before the first event that may contain its cause, such as a takeover or a store failure. */
const CONTEXT_BEFORE_MILLISECONDS = 2_000;

/** Period after the last event. */
const CONTEXT_AFTER_MILLISECONDS = 500;

/** Events that belong to no single job but may affect many. */
const CONTEXT_EVENT =
    /^(cell-(owned|claimed|lost)|commits?-|recovery-|former-owner-|owner-(dead|isolated)|lease-|starting$|stopp(ing|ed)$)/;

/** Finds the events of a request or job in the log lines of all instances. */
export function traceEvents(id: string, lines: Iterable<string>): Trace {
    const events: EventLine[] = [];
    let unreadableLines = 0;
    for (const line of lines) {
        if (line.trim() === "") {
            continue;
        }
        const event = parseJson(EventLine, line, "line");
        if (event.isOk) {
            events.push(event.value);
        }
        else {
            unreadableLines += 1;
        }
    }
    // A request identifies the job in its path; the job identifies its other requests.
    const matching = events.filter(event => identifiersOf(event).includes(id));
    const ids = new Set([
        id,
        ...matching.filter(({ request }) => request === id).flatMap(event => jobIdOf(event) ?? []),
    ]);
    const isOwn = (event: EventLine): boolean => identifiersOf(event).some(name => ids.has(name));
    const own = sortByTime(events.filter(isOwn));
    const [first] = own;
    const last = own.at(-1);
    if (first === undefined || last === undefined) {
        return { own, around: [], unreadableLines };
    }
    const from = Date.parse(first.time) - CONTEXT_BEFORE_MILLISECONDS;
    const until = Date.parse(last.time) + CONTEXT_AFTER_MILLISECONDS;
    const workers = new Set(own.map(({ worker }) => worker).filter(worker => typeof worker === "string"));
    const around = sortByTime(events.filter(event => {
        const at = Date.parse(event.time);
        const isAboutWorker = event.event.startsWith("worker-") && workers.has(event["worker"] as string);
        return at >= from && at <= until && !isOwn(event)
            && (isAboutWorker || CONTEXT_EVENT.test(event.event));
    }));
    return { own, around, unreadableLines };
}

/** Returns the identifiers of the request and the job of an event. */
function identifiersOf(event: EventLine): string[] {
    return [event["request"], jobIdOf(event)].filter(name => typeof name === "string");
}

/** Returns the job of an event, from its job field, its task key, or the end of the request path. */
function jobIdOf({ job, path, task }: EventLine): string | undefined {
    if (typeof job === "string") {
        return job;
    }
    if (typeof task === "string") {
        return task.slice(0, task.indexOf("."));
    }
    const last = typeof path === "string" ? path.replace(/\?.*$/, "").split("/").at(-1) : "";
    return last === "" ? undefined : last;
}

function sortByTime(events: readonly EventLine[]): EventLine[] {
    return [...events].sort((left, right) => Date.parse(left.time) - Date.parse(right.time));
}
