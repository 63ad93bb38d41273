/**
 * What scenarios of the request path share.
 */
import { After } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { request } from "undici";
import { headers } from "../../../src/platform/worker.js";
import type { CreditAllocatorOptions } from "../../../src/scheduler/credits/allocator.js";
import { startGateway, startScheduler } from "./gateway.js";
import type { TestGateway, TestGatewayOptions, TestScheduler } from "./gateway.js";
import { startUpstream } from "./upstream.js";
import type { TestUpstream } from "./upstream.js";

const CONDITION_STEP_MILLISECONDS = 10;
const CONDITION_LIMIT_MILLISECONDS = 20_000;

/** An answer as the caller saw it; `error` where the connection broke. */
export interface ReceivedAnswer {
    readonly status: number;
    readonly body: string;
    readonly outcome: string | undefined;
    readonly reason: string | undefined;
    readonly error: string | undefined;
}

/** State of one scenario. */
export interface RequestWorld {
    upstreams: TestUpstream[];
    schedulers: TestScheduler[];
    gateways: TestGateway[];
    answers: ReceivedAnswer[];
}

/** A service that a scenario needs. */
export interface ServiceOptions extends Omit<TestGatewayOptions, "schedulers"> {
    readonly replicas: number;
    /** Data centres of the replicas; the gateway's own by default. */
    readonly dataCentres?: readonly string[];
    readonly creditAllocator?: Partial<CreditAllocatorOptions>;
}

/** Starts upstreams, a scheduler and a gateway, and waits until the gateway reaches the upstreams. */
export async function startService(world: RequestWorld, options: ServiceOptions): Promise<void> {
    world.answers = [];
    world.upstreams = await Promise.all(Array.from({ length: options.replicas }, startUpstream));
    const scheduler = await startScheduler(options.creditAllocator);
    world.schedulers = [scheduler];
    scheduler.offer(
        {},
        world.upstreams.map(({ origin }, index) => ({ origin, dataCentre: options.dataCentres?.[index] ?? "levi" })),
    );
    const gateway = await startGateway({ ...options, schedulers: [scheduler.origin] });
    world.gateways = [gateway];
    if (options.replicas > 0) {
        await waitUntil("routes known", async () => (await call(`${gateway.origin}/beacon-check/`)).status === 200);
        world.upstreams.forEach(({ requests }) => requests.splice(0));
    }
}

/** Gives the scenario's gateway. */
export function firstGateway(world: RequestWorld): TestGateway {
    const [gateway] = world.gateways;
    assert.ok(gateway !== undefined);
    return gateway;
}

/** Gives the scenario's scheduler. */
export function firstScheduler(world: RequestWorld): TestScheduler {
    const [scheduler] = world.schedulers;
    assert.ok(scheduler !== undefined);
    return scheduler;
}

/** What a caller sends. */
export interface CallOptions {
    readonly method?: string;
    readonly body?: string;
    readonly headers?: Record<string, string>;
}

/** Makes a call and takes in whatever comes of it. */
export async function call(url: string, options: CallOptions = {}): Promise<ReceivedAnswer> {
    try {
        const answer = await request(url, {
            method: (options.method ?? "POST") as "POST",
            headers: options.headers ?? {},
            ...(options.body === undefined ? {} : { body: options.body }),
        });
        const read = (name: string) => answer.headers[name]?.toString();
        return {
            status: answer.statusCode,
            outcome: read(headers.outcome),
            reason: read(headers.reason),
            body: await answer.body.text(),
            error: undefined,
        };
    }
    catch (thrown) {
        return { status: 0, body: "", outcome: undefined, reason: undefined, error: (thrown as Error).message };
    }
}

/** Waits until a condition holds; fails the scenario where it never does. */
export async function waitUntil(description: string, condition: () => boolean | Promise<boolean>): Promise<void> {
    const endsAt = Date.now() + CONDITION_LIMIT_MILLISECONDS;
    while (!(await condition())) {
        assert.ok(Date.now() < endsAt, `never: ${description}`);
        await new Promise(resolve => setTimeout(resolve, CONDITION_STEP_MILLISECONDS));
    }
}

After(async function(this: Partial<RequestWorld>) {
    await Promise.all((this.gateways ?? []).map(gateway => gateway.close()));
    await Promise.all([...this.schedulers ?? [], ...this.upstreams ?? []].map(server => server.close()));
});
