/**
 * Requests of one service that wait for a place, by priority and arrival.
 */

/** A waiting request. */
export interface WaitingRequest {
    /** 0 goes first. */
    readonly priority: number;
    readonly deadlineMilliseconds: number;
    /** Tries to go ahead; answers false where there is still no place, and the queue stops there. */
    tryStart(now: number): boolean;
    /** Called once too little time is left in the queue. */
    expire(): void;
}

/** A queue with priorities. */
export interface WaitQueue {
    add(waiter: WaitingRequest): void;
    /** Requests that go before a newcomer of this priority. */
    lengthBefore(priority: number): number;
    length(): number;
    /** Lets requests go ahead as long as they find a place; those that have less time left than needed expire. */
    advance(now: number, neededMilliseconds: number): void;
    /** Takes out requests that have less time left than needed. */
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
