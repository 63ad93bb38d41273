/**
 * The rules file of a fault run.
 */
import { MILLISECONDS_PER_DAY } from "../../../src/core/time.js";
import type { Without } from "./without.js";

const DAYS_IN_FORCE = 180;

/** Services of the run; requests of the exclusive one carry their key in the path. */
export const services = { exclusive: "beacon-check", plain: "kit-watch", billing: "guide-billing" } as const;

/** Batch rules that are in force throughout, with their numbers of tasks. */
export const lastingBatch = [
    { name: "season-prep", tasks: 8, seconds: 12 },
    { name: "firmware-audit", tasks: 6, seconds: 6 },
] as const;

/** A wave of batch work. */
export interface Wave {
    readonly wave: number;
    readonly tasks: number;
}

/** Writes the rules file with the given waves. */
export function createRulesText(now: number, waves: readonly Wave[], without: Without | undefined): string {
    const until = new Date(now + DAYS_IN_FORCE * MILLISECONDS_PER_DAY).toISOString().slice(0, 10);
    return [
        `service ${services.exclusive} --replicas 6 --cores 2 --memory 4GiB ${
            without?.exclusiveRule ?? true ? "--exclusive path:0 " : ""
        }--deadline 2s --priority 0 --until ${until} # Aino, rental desk`,
        `service ${services.plain} --replicas 6 --cores 1 --memory 2GiB --deadline 3s --priority 2 --until ${until} # Aino, rental desk`,
        `service ${services.billing} --replicas 4 --cores 1 --memory 2GiB --deadline 3s --priority 1 --until ${until} # Eero, bookings`,
        ...lastingBatch.map(({ name, tasks, seconds }) =>
            `batch ${name} --tasks ${tasks} --cores 4 --memory 8GiB --seconds ${seconds} --retries 9 --until ${until} # Eero, bookings`
        ),
        ...(without?.endlessBatch === undefined
            ? []
            : [`batch season-archive --tasks 12 --cores 4 --memory 8GiB --seconds 600 --until ${until} # Eero, bookings`]),
        ...waves.map(({ wave, tasks }) =>
            `batch wave-${wave} --tasks ${tasks} --cores 4 --memory 8GiB --seconds 600 --retries 9 --until ${until} # Eero, wave ${wave}`
        ),
        "",
    ].join("\n");
}
