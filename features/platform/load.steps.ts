/**
 * Steps for the load tool and the proxy.
 */
import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { Agent, request } from "undici";
import { runLoad } from "../../bench/support/load.js";
import type { LoadResult } from "../../bench/support/load.js";
import { systemClock } from "../../src/core/time.js";
import { createWorkerControl } from "../../src/platform/adapters/worker.js";
import { createProxy, ProxyRuleChange } from "../../stand-ins/proxy/index.js";
import type { Proxy } from "../../stand-ins/proxy/index.js";
import { createWorkerStandIn, WorkerBehaviour, WorkerFaultChange } from "../../stand-ins/worker/index.js";
import type { WorkerRecord, WorkerStandIn } from "../../stand-ins/worker/index.js";

const HOST = "127.0.0.1";
const SILENCE_LIMIT_MILLISECONDS = 300;
/** Connections that the worker takes at once; it closes any beyond them, which a slow machine's load would open. */
const WORKER_CONNECTIONS = 64;

interface LoadWorld {
    worker: WorkerStandIn | undefined;
    proxy: Proxy;
    records: WorkerRecord[];
    result: LoadResult;
    oldConnection: Agent;
    service: string;
}

Given("a worker stand-in that serves {string} behind a proxy", async function(this: LoadWorld, service: string) {
    this.records = [];
    this.service = service;
    this.worker = await createWorkerStandIn({
        name: "levi-01",
        dataCentre: "levi",
        rack: 0,
        shape: { slots: 8, cores: 32, memoryBytes: 125_000_000_000, accelerators: 0, connections: WORKER_CONNECTIONS },
        host: HOST,
        behaviour: WorkerBehaviour.parse({ profiles: { [service]: { requestMilliseconds: 1 } } }),
        record: record => this.records.push(record),
    });
    const { controlOrigin, serveOrigin } = this.worker.instance;
    const started = await createWorkerControl({ timeoutMilliseconds: 5_000 }).start(controlOrigin, {
        cell: "levi-0",
        owner: "test",
        epoch: 1,
        starts: [{
            taskId: "service-1",
            attempt: 1,
            rule: service,
            kind: "service",
            resources: { cores: 4, memoryBytes: 1, accelerators: 0 },
            workSeconds: 0,
            leaseMilliseconds: 600_000,
        }],
    });
    assert.equal(started.unwrapOr([])[0]?.outcome, "started");
    this.proxy = await createProxy({
        host: HOST,
        target: { host: HOST, port: Number(new URL(serveOrigin).port) },
        seed: 1,
    });
    this.oldConnection = new Agent({ connections: 1 });
});

Given("the proxy has the rules {string}", function(this: LoadWorld, rules: string) {
    this.proxy.setRules(ProxyRuleChange.parse(JSON.parse(rules)));
});

Given("the worker has the faults {string}", function(this: LoadWorld, faults: string) {
    this.worker?.setFaults(WorkerFaultChange.parse(JSON.parse(faults)));
});

Given("{int} calls have been made through the proxy", async function(this: LoadWorld, count: number) {
    for (let index = 0; index < count; index += 1) {
        const answer = await callOnOldConnection(this);
        assert.equal(answer, 200);
    }
});

When("{int} calls are made through the proxy", makeCalls);

When("{int} calls are made through the proxy on new connections", makeCalls);

Then("{int} calls are {string}", function(this: LoadWorld, count: number, outcome: keyof LoadResult["outcomes"]) {
    assert.equal(this.result.outcomes[outcome], count, JSON.stringify(this.result.outcomes));
});

Then("the worker's records show {int} runs", function(this: LoadWorld, count: number) {
    assert.equal(this.records.filter(record => record.event === "request-started").length, count);
});

Then("a call on an old connection gets no answer", async function(this: LoadWorld) {
    await assert.rejects(callOnOldConnection(this, AbortSignal.timeout(SILENCE_LIMIT_MILLISECONDS)), /abort|timeout/i);
});

After(async function(this: Partial<LoadWorld>) {
    if (this.proxy !== undefined) {
        await this.oldConnection?.destroy();
        await this.proxy.close();
        await this.worker?.close();
    }
});

async function makeCalls(this: LoadWorld, count: number): Promise<void> {
    const stop = new AbortController();
    this.result = await runLoad({
        seed: 1,
        origins: [this.proxy.origin],
        callsPerSecond: 500,
        connectionsPerOrigin: WORKER_CONNECTIONS,
        durationMilliseconds: 600_000,
        name: "call",
        clock: systemClock,
        signal: stop.signal,
        drawCall: (random, index) => {
            if (index === count - 1) {
                stop.abort();
            }
            return { service: this.service, key: `kit-${index}`, method: "POST" };
        },
    });
}

async function callOnOldConnection(world: LoadWorld, signal?: AbortSignal): Promise<number> {
    const answer = await request(`${world.proxy.origin}/${world.service}/kit?call=old`, {
        headers: { "flamingowell-service": world.service },
        dispatcher: world.oldConnection,
        ...(signal === undefined ? {} : { signal }),
    });
    await answer.body.text();
    return answer.statusCode;
}
