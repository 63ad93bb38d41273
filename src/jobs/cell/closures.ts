/**
 * What a cell's owner knows of closed data centres, and whether that is recent enough to start anything.
 *
 * A watch that hears nothing proves nothing: its owner may have been paused, or cut off from the store. The owner therefore reads all
 * closures again and again, and sends no start while its last answered read is too old.
 */
import { formatFailure } from "../../core/errors.js";
import type { EventLog } from "../../core/event-log.js";
import { isAborted, pause } from "../../core/time.js";
import type { Clock } from "../../core/time.js";
import type { JobsMetrics } from "../metrics.js";
import type { ClosureSource } from "../model/closures.js";
import type { CellSettings } from "../settings.js";
import type { CellWorker } from "./worker.js";

/** Part of the limit that is left for orders under way, of which a worker takes each within its time limit. */
const ORDER_MARGIN_MILLISECONDS = 1_000;

/** Longest time between two reads of all closures. */
const LONGEST_READ_INTERVAL_MILLISECONDS = 1_000;

/** Reads within the time in which starts may be sent after each. */
const READS_WITHIN_VALIDITY = 3;

/** Wait after a read that failed. */
const RETRY_MILLISECONDS = 100;

/** Closures as the modules of an owned cell see them. */
export interface CellClosures {
    /** Whether nothing may be started in a data centre. */
    isClosed(dataCentre: string): boolean;
    /** Whether the closures are known well enough to send a start. */
    areConfirmed(now: number): boolean;
    /** Keeps the closures confirmed until the cell is given up. */
    run(): Promise<void>;
}

/** Options of a cell's closures. */
export interface CellClosuresOptions {
    /** Absent if data centres are never closed. */
    readonly source: ClosureSource | undefined;
    readonly settings: Pick<CellSettings, "closureLimitMilliseconds">;
    readonly clock: Clock;
    readonly log: EventLog;
    readonly metrics: JobsMetrics;
    /** Aborted when the cell is given up or taken over. */
    readonly signal: AbortSignal;
    readonly workers: ReadonlyMap<string, Pick<CellWorker, "listed">>;
    requestDispatch(): void;
}

/** Creates the closures of a cell. */
export function createCellClosures(options: CellClosuresOptions): CellClosures {
    const { settings: { closureLimitMilliseconds }, source } = options;
    return source === undefined || closureLimitMilliseconds === undefined
        ? { isClosed: () => false, areConfirmed: () => true, run: async () => undefined }
        : followSource(options, source, closureLimitMilliseconds);
}

function followSource(
    options: CellClosuresOptions,
    source: ClosureSource,
    limitMilliseconds: number,
): CellClosures {
    const { clock, log, metrics, signal, workers } = options;
    const validMilliseconds = Math.max(limitMilliseconds - ORDER_MARGIN_MILLISECONDS, limitMilliseconds / 2);
    const readIntervalMilliseconds = Math.min(
        LONGEST_READ_INTERVAL_MILLISECONDS,
        validMilliseconds / READS_WITHIN_VALIDITY,
    );
    const areConfirmed = (now: number): boolean => now - source.confirmedAtMilliseconds() < validMilliseconds;
    let reported: ReadonlySet<string> = new Set();
    let isHolding = false;

    /** Reports the closures that this owner has begun or ceased to heed. */
    const reportClosures = (): void => {
        const closed = new Set(source.closed());
        for (const dataCentre of [...closed].filter(name => !reported.has(name))) {
            const count = [...workers.values()].filter(({ listed }) => listed.dataCentre === dataCentre).length;
            const event = count === 0 ? "closure-without-workers" : "closure-heeded";
            log.write(event, { dataCentre, workers: count }, "vital");
        }
        for (const dataCentre of [...reported].filter(name => !closed.has(name))) {
            log.write("closure-over", { dataCentre }, "vital");
        }
        reported = closed;
        metrics.closedDataCentres.set(closed.size);
        options.requestDispatch();
    };

    const reportHolding = (holdsNow: boolean, failure: string | undefined): void => {
        if (holdsNow === isHolding) {
            return;
        }
        isHolding = holdsNow;
        metrics.startsHeld.set(holdsNow ? 1 : 0);
        if (holdsNow) {
            const ageMilliseconds = Math.round(clock() - source.confirmedAtMilliseconds());
            log.write("starts-held", { ageMilliseconds, validMilliseconds, failure }, "vital");
        }
        else {
            log.write("starts-resumed", {}, "vital");
            options.requestDispatch();
        }
    };

    return {
        isClosed: dataCentre => source.closed().has(dataCentre),
        areConfirmed,
        async run() {
            const stopListening = source.onChange(reportClosures);
            signal.addEventListener("abort", () => {
                stopListening();
                metrics.closedDataCentres.set(0);
                metrics.startsHeld.set(0);
            }, { once: true });
            while (!signal.aborted) {
                const wasConfirmed = areConfirmed(clock());
                const read = await source.refresh();
                metrics.closureReads.inc({ outcome: read.isOk ? "read" : read.error.code });
                if (isAborted(signal)) {
                    return;
                }
                if (read.isOk && !wasConfirmed) {
                    reportClosures();
                }
                reportHolding(!areConfirmed(clock()), read.isOk ? undefined : formatFailure(read.error));
                await pause(read.isOk ? readIntervalMilliseconds : RETRY_MILLISECONDS, signal);
            }
        },
    };
}
