/**
 * Gangs of the stand-in workers: the tasks of one run work from the moment when all are present, and end together.
 */
import { setTimeout as delay } from "node:timers/promises";

/** `gangTimeoutMs` of the settings. */
const GANG_TIMEOUT_MILLISECONDS = 3_000;

/** How a member ends. */
export type GangEnd = "done" | "alone" | "broken";

/** The gangs of a deployment. */
export interface Gangs {
    /** Adds a member; `end` is called when the gang ends it. */
    join(gang: string, size: number, milliseconds: number, end: (how: GangEnd) => void): void;
    /** Records that a member has ended in another way, which ends the others as `broken`. */
    leave(gang: string, end: (how: GangEnd) => void): void;
}

/** Starts without any gang. */
export function createGangs(): Gangs {
    const present = new Map<string, Set<(how: GangEnd) => void>>();
    const endAll = (gang: string, how: GangEnd): void => {
        const members = [...present.get(gang) ?? []];
        present.delete(gang);
        members.forEach(end => end(how));
    };
    return {
        join(gang, size, milliseconds, end) {
            const members = present.get(gang) ?? new Set();
            present.set(gang, members);
            members.add(end);
            if (members.size === size) {
                void delay(milliseconds).then(() => {
                    if (present.get(gang) === members && members.size === size) {
                        endAll(gang, "done");
                    }
                });
                return;
            }
            void delay(GANG_TIMEOUT_MILLISECONDS).then(() => {
                if (members.has(end) && members.size < size) {
                    members.delete(end);
                    end("alone");
                }
            });
        },
        leave(gang, end) {
            if (present.get(gang)?.delete(end) === true) {
                endAll(gang, "broken");
            }
        },
    };
}
