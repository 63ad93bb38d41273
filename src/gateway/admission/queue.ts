/**
 * Requests of one service that wait for a replica and a connection, by priority and arrival.
 */

/** A waiting request. */
export interface WaitingRequest {
    /** 0 is the most urgent. */
    readonly priority: number;
    readonly deadlineMilliseconds: number;
    /** Tries to start the request; returns false where no connection is available, which ends the pass. */
    tryStart(now: number): boolean;
    /** Refuses the request, since too little time remains before its deadline. */
    expire(): void;
}

/** Priority queue of waiting requests. */
export interface WaitQueue {
    add(waiter: WaitingRequest): void;
    /** Number of requests ahead of a new one of this priority. */
    lengthBefore(priority: number): number;
    length(): number;
    /** Starts requests until one can't start; expires those with no more than the needed time before their deadline. */
    advance(now: number, neededMilliseconds: number): void;
    /** Expires requests with no more than the needed time before their deadline. */
    expire(now: number, neededMilliseconds: number): void;
}

const PRIORITIES = 10;

/** Creates an empty queue. */
export function createWaitQueue(): WaitQueue {
    const lanes: WaitingRequest[][] = Array.from({ length: PRIORITIES }, () => []);
    let length = 0;
    const removeExpired = (lane: WaitingRequest[], latest: number) => {
        const remaining = lane.filter(waiter => waiter.deadlineMilliseconds > latest);
        if (remaining.length === lane.length) {
            return;
        }
        const expired = lane.filter(waiter => waiter.deadlineMilliseconds <= latest);
        lane.splice(0, lane.length, ...remaining);
        length -= expired.length;
        expired.forEach(waiter => waiter.expire());
    };
    return {
        length: () => length,
        lengthBefore: priority => lanes.slice(0, priority + 1).reduce((sum, lane) => sum + lane.length, 0),
        add(waiter) {
            lanes[waiter.priority]?.push(waiter);
            length += 1;
        },
        advance(now, neededMilliseconds) {
            for (const lane of lanes) {
                while (lane.length > 0) {
                    const [waiter] = lane;
                    if (waiter === undefined) {
                        break;
                    }
                    if (waiter.deadlineMilliseconds <= now + neededMilliseconds) {
                        lane.shift();
                        length -= 1;
                        waiter.expire();
                        continue;
                    }
                    if (!waiter.tryStart(now)) {
                        return;
                    }
                    lane.shift();
                    length -= 1;
                }
            }
        },
        expire(now, neededMilliseconds) {
            lanes.forEach(lane => removeExpired(lane, now + neededMilliseconds));
        },
    };
}
