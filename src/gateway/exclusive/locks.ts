/**
 * Locks by key, given out first come, first served.
 */

/** Ends a lock; calling it again has no effect. */
export type Release = () => void;

/** The locks of one gateway. */
export interface Locks {
    /** Waits for the lock of a key; `undefined` where it did not come free in time. */
    acquire(key: string, waitMilliseconds: number): Promise<Release | undefined>;
    /** Number of keys locked or waited for, where the test holds. */
    count(matches: (key: string) => boolean): number;
}

interface Waiter {
    readonly resolve: (acquired: boolean) => void;
}

/** Creates an empty set of locks. */
export function createLocks(): Locks {
    const waiting = new Map<string, Waiter[]>();
    const release = (key: string): void => {
        const next = waiting.get(key)?.shift();
        if (next === undefined) {
            waiting.delete(key);
            return;
        }
        next.resolve(true);
    };
    const createRelease = (key: string): Release => {
        let released = false;
        return () => {
            if (!released) {
                released = true;
                release(key);
            }
        };
    };
    return {
        async acquire(key, waitMilliseconds) {
            const queue = waiting.get(key);
            if (queue === undefined) {
                waiting.set(key, []);
                return createRelease(key);
            }
            const acquired = await waitInQueue(queue, waitMilliseconds);
            return acquired ? createRelease(key) : undefined;
        },
        count: matches => [...waiting.keys()].filter(matches).length,
    };
}

function waitInQueue(queue: Waiter[], waitMilliseconds: number): Promise<boolean> {
    return new Promise(resolve => {
        const waiter: Waiter = {
            resolve: acquired => {
                clearTimeout(timer);
                resolve(acquired);
            },
        };
        const timer = setTimeout(() => {
            queue.splice(queue.indexOf(waiter), 1);
            resolve(false);
        }, Math.max(0, waitMilliseconds));
        queue.push(waiter);
    });
}
