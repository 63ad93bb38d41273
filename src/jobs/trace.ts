/**
 * The course of one request or job, out of the processes' event logs.
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

/** Events about a request or job, and what happened around it that may explain them. */
export interface Trace {
    /** Events about it, in the order of their times. */
    readonly own: readonly EventLine[];
    /** Changes of owners, of dependencies, and of the workers that it was on, during its time. */
    readonly around: readonly EventLine[];
    /** Lines that are no events. */
    readonly unreadableLines: number;
}

/** Time before the first event of a job in which its cause may lie: a takeover, or a store that has failed for a while. */
const CONTEXT_BEFORE_MILLISECONDS = 2_000;

/** Time after its last event. */
const CONTEXT_AFTER_MILLISECONDS = 500;

/** Events about no job that explain what happens to many. */
const CONTEXT_EVENT =
    /^(cell-(owned|claimed|lost)|commits?-|recovery-|owner-(dead|isolated)|lease-|starting$|stopp(ing|ed)$)/;

/** Finds a request's or job's events in the lines of all instances' logs. */
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
    // A request leads to the job in its path, and the job to its other requests.
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

/** Requests and jobs that an event is about. */
function identifiersOf(event: EventLine): string[] {
    return [event["request"], jobIdOf(event)].filter(name => typeof name === "string");
}

/** The job that an event is about: named, part of a task's name, or the end of a request's path. */
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
