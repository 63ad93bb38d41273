/**
 * Random histories of one worker's connections: gateways that crash, pause and lose answers, and owners that change.
 *
 * The gateways here follow the rules of the message `credits.exchange`, written down a second time.
 */
import * as fc from "fast-check";
import { createCreditAccount } from "../../../src/scheduler/credits/account.js";
import type { AccountOptions, CreditAccount } from "../../../src/scheduler/credits/account.js";

export const CAPACITY = 64;
const LEASE_MILLISECONDS = 1_000;
const GATEWAYS = 5;
const LONGEST_STEP_MILLISECONDS = 700;

/** One event of a history. */
export type HistoryEvent =
    | { readonly kind: "ask"; readonly gateway: number; readonly wanted: number; }
    | { readonly kind: "answer" | "lose-answer" | "crash" | "vanish"; readonly gateway: number; }
    | { readonly kind: "open" | "close"; readonly gateway: number; readonly count: number; }
    | { readonly kind: "measure" | "report" | "take-over" | "notice"; }
    | { readonly kind: "advance"; readonly milliseconds: number; };

/** Faults that an owner can be built with, to show that the check notices them. */
export const ownerFaults: Record<string, (options: AccountOptions) => CreditAccount> = {
    "counts a lease for half of its time": options =>
        createCreditAccount({ ...options, leaseMilliseconds: options.leaseMilliseconds / 2 }),
    "takes credits as free when their lease has lapsed": options => {
        const account = createCreditAccount(options);
        // Empty reports of the present make every lapsed credit free.
        return {
            ...account,
            claim: (claim, now) => {
                account.observe([], now);
                return account.claim(claim, now);
            },
        };
    },
    "does not wait for the leases of its predecessor": options =>
        createCreditAccount({ ...options, claimedAtMilliseconds: undefined }),
};

interface TestGateway {
    holder: string;
    open: number;
    credits: number;
    lapsesAt: number;
    pending: { readonly granted: number; readonly sentAt: number; } | undefined;
}

/** Plays a history; answers with the most connections that the worker had open. */
export function playHistory(
    events: readonly HistoryEvent[],
    createAccount: (options: AccountOptions) => CreditAccount = createCreditAccount,
): number {
    let now = 0;
    let account = createAccount(createOptions(undefined));
    let starts = 0;
    const start = (index: number): TestGateway => {
        starts += 1;
        return { holder: `entry-${index}/${starts}`, open: 0, credits: 0, lapsesAt: 0, pending: undefined };
    };
    const gateways = Array.from({ length: GATEWAYS }, (unused, index) => start(index));
    // Connections of instances that vanished, which the worker takes for open until it notices.
    let vanished: { holder: string; open: number; }[] = [];
    let measured: { at: number; connections: { holder: string; connections: number; }[]; }[] = [];
    let peak = 0;
    for (const event of events) {
        const gateway = "gateway" in event ? gateways[event.gateway] : undefined;
        if (gateway !== undefined) {
            playGatewayEvent(gateway, event, account, now);
            if (event.kind === "vanish") {
                vanished.push({ holder: gateway.holder, open: gateway.open });
            }
            if (event.kind === "vanish" || event.kind === "crash") {
                gateways[event.gateway] = start(event.gateway);
            }
        }
        switch (event.kind) {
            case "advance":
                now += event.milliseconds;
                break;
            case "notice":
                vanished = [];
                break;
            case "measure":
                measured.push({
                    at: now,
                    connections: [...gateways, ...vanished].map(({ holder, open }) => ({ holder, connections: open })),
                });
                break;
            case "report": {
                const [oldest, ...others] = measured;
                measured = others;
                account.observe(oldest?.connections ?? [], oldest?.at ?? Number.NEGATIVE_INFINITY);
                break;
            }
            case "take-over":
                account = createAccount(createOptions(now));
                break;
            default:
                break;
        }
        peak = Math.max(peak, [...gateways, ...vanished].reduce((sum, { open }) => sum + open, 0));
    }
    return peak;
}

function createOptions(takenAtMilliseconds: number | undefined): AccountOptions {
    return {
        capacity: CAPACITY,
        leaseMilliseconds: LEASE_MILLISECONDS,
        clockMarginMilliseconds: 0,
        claimedAtMilliseconds: takenAtMilliseconds,
    };
}

function playGatewayEvent(gateway: TestGateway, event: HistoryEvent, account: CreditAccount, now: number): void {
    switch (event.kind) {
        case "ask": {
            if (gateway.pending !== undefined) {
                return;
            }
            const valid = now < gateway.lapsesAt ? gateway.credits : 0;
            const held = Math.max(gateway.open, Math.min(valid, event.wanted));
            gateway.credits = held;
            const granted = account.claim({ holder: gateway.holder, held, wanted: event.wanted }, now);
            gateway.pending = { granted, sentAt: now };
            return;
        }
        case "answer":
            if (gateway.pending !== undefined) {
                gateway.credits = gateway.pending.granted;
                gateway.lapsesAt = gateway.pending.sentAt + LEASE_MILLISECONDS;
                gateway.pending = undefined;
            }
            return;
        case "lose-answer":
            gateway.pending = undefined;
            return;
        case "open":
            if (now < gateway.lapsesAt) {
                gateway.open = Math.max(gateway.open, Math.min(gateway.open + event.count, gateway.credits));
            }
            return;
        case "close":
            gateway.open = Math.max(0, gateway.open - event.count);
            return;
        default:
            return;
    }
}

/** Draws histories; asking, answering and opening come often, so that credits are scarce. */
export function drawHistory(): fc.Arbitrary<HistoryEvent[]> {
    const gateway = fc.nat({ max: GATEWAYS - 1 });
    const count = fc.integer({ min: 1, max: CAPACITY });
    const event: fc.Arbitrary<HistoryEvent> = fc.oneof(
        { weight: 6, arbitrary: fc.record({ kind: fc.constant("ask" as const), gateway, wanted: count }) },
        { weight: 6, arbitrary: fc.record({ kind: fc.constant("answer" as const), gateway }) },
        { weight: 6, arbitrary: fc.record({ kind: fc.constant("open" as const), gateway, count }) },
        { weight: 2, arbitrary: fc.record({ kind: fc.constant("close" as const), gateway, count }) },
        {
            weight: 1,
            arbitrary: fc.record({
                kind: fc.constantFrom("lose-answer" as const, "crash" as const, "vanish" as const),
                gateway,
            }),
        },
        { weight: 3, arbitrary: fc.record({ kind: fc.constantFrom("measure" as const, "report" as const) }) },
        { weight: 1, arbitrary: fc.record({ kind: fc.constantFrom("take-over" as const, "notice" as const) }) },
        {
            weight: 3,
            arbitrary: fc.record({
                kind: fc.constant("advance" as const),
                milliseconds: fc.integer({ min: 1, max: LONGEST_STEP_MILLISECONDS }),
            }),
        },
    );
    return fc.array(event, { minLength: 60, maxLength: 200, size: "max" });
}
