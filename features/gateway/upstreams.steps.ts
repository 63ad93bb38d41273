/**
 * Steps for upstreams that are silent, failing, leaving or far away.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { pause } from "../../src/core/time.js";
import { startGateway, startScheduler } from "./support/gateway.js";
import { answerWhole } from "./support/upstream.js";
import { call, firstGateway, firstScheduler, startService, waitUntil } from "./support/world.js";
import type { RequestWorld } from "./support/world.js";

const SHORT_DEADLINE_MILLISECONDS = 100;

interface UpstreamsWorld extends RequestWorld {
    counts: number[];
}

function countRequests(world: UpstreamsWorld, index: number): number {
    return world.upstreams[index]?.requests.length ?? 0;
}

function clearRequests(world: UpstreamsWorld): void {
    world.upstreams.forEach(({ requests }) => requests.splice(0));
}

async function callOnce(world: UpstreamsWorld, deadline?: number): Promise<number> {
    const headers: Record<string, string> = deadline === undefined ? {} : { "flamingowell-deadline": String(deadline) };
    const answer = await call(`${firstGateway(world).origin}/beacon-check/kits/1`, { body: "x", headers });
    return answer.status;
}

async function callTimes(world: UpstreamsWorld, count: number): Promise<number[]> {
    const statuses: number[] = [];
    for (let index = 0; index < count; index += 1) {
        statuses.push(await callOnce(world));
    }
    return statuses;
}

Given("{int} open connections that have gone silent", async function(this: UpstreamsWorld, count: number) {
    const [upstream] = this.upstreams;
    assert.ok(upstream !== undefined);
    const silent = new Set<Socket>();
    await waitUntil("connections are open", async () => {
        const held: (() => void)[] = [];
        upstream.behave((request, socket) => {
            silent.add(socket);
            held.push(() => answerWhole(request, socket));
            if (held.length === count) {
                held.forEach(answer => answer());
            }
        });
        await Promise.all(Array.from({ length: count }, () => callOnce(this, SHORT_DEADLINE_MILLISECONDS)));
        return held.length === count && upstream.connections() === count;
    });
    upstream.behave((request, socket) => {
        if (!silent.has(socket)) {
            answerWhole(request, socket);
        }
    });
    clearRequests(this);
});

Given(
    /^a service with (\d+) replicas? and breakers that open for (\d+) ms$/,
    async function(this: UpstreamsWorld, count: string, time: string) {
        const [replicas, milliseconds] = [Number(count), Number(time)];
        const settings = { breakerOpenMilliseconds: milliseconds, breakerLongestMilliseconds: milliseconds };
        await startService(this, { replicas, settings: { ...settings, probeTimeoutMilliseconds: 100 } });
    },
);

Given(
    "a service with {int} replicas whose word that they are leaving counts for {int} ms",
    async function(this: UpstreamsWorld, replicas: number, leavingMilliseconds: number) {
        await startService(this, { replicas, settings: { leavingMilliseconds } });
    },
);

Given("replica {int} needs {int} ms for each request", function(this: UpstreamsWorld, index: number, delay: number) {
    this.upstreams[index]?.behave((request, socket) => {
        void pause(delay).then(() => answerWhole(request, socket));
    });
});

Given("replica {int} is silent", function(this: UpstreamsWorld, index: number) {
    this.upstreams[index]?.behave(() => undefined);
});

Then("the probe on a new connection opens no breaker", async function(this: UpstreamsWorld) {
    const [upstream] = this.upstreams;
    await waitUntil(
        "the probe has arrived",
        () => upstream?.requests.some(({ head }) => head.startsWith("OPTIONS")) === true,
    );
    await callTimes(this, 5);
    assert.equal(firstGateway(this).gateway.breakersOpened(), 0);
});

When("callers have met the silence of replica 0 once", async function(this: UpstreamsWorld) {
    const { gateway } = firstGateway(this);
    const opened = gateway.breakersOpened();
    await waitUntil(
        "the silence was met",
        async () => (await callOnce(this, SHORT_DEADLINE_MILLISECONDS)) === 504,
    );
    await waitUntil("the probe has ended", () => gateway.breakersOpened() > opened);
});

When("what has arrived is forgotten", function(this: UpstreamsWorld) {
    clearRequests(this);
});

Then(
    "{int} requests one after the other are answered by replica {int}",
    async function(this: UpstreamsWorld, count: number, index: number) {
        clearRequests(this);
        const statuses = await callTimes(this, count);
        assert.deepEqual([...new Set(statuses)], [200]);
        assert.equal(countRequests(this, index), count);
    },
);

When("replica {int} answers again", function(this: UpstreamsWorld, index: number) {
    this.upstreams[index]?.behave(answerWhole);
});

Then("requests reach replica {int} again", { timeout: 30_000 }, async function(this: UpstreamsWorld, index: number) {
    clearRequests(this);
    await waitUntil("a request reached it", async () => {
        await callOnce(this);
        return countRequests(this, index) > 0;
    });
});

Given("replicas 0 and 1 answer every request with status 500", function(this: UpstreamsWorld) {
    for (const upstream of this.upstreams.slice(0, 2)) {
        upstream.behave((request, socket) => socket.write("HTTP/1.1 500 Failed\r\ncontent-length: 0\r\n\r\n"));
    }
});

When("{int} requests have been made", { timeout: 20_000 }, async function(this: UpstreamsWorld, count: number) {
    await callTimes(this, count);
});

Then(
    "of {int} further requests at most {int} reached replica 0 or replica 1",
    { timeout: 20_000 },
    async function(this: UpstreamsWorld, count: number, most: number) {
        clearRequests(this);
        await callTimes(this, count);
        const reached = countRequests(this, 0) + countRequests(this, 1);
        assert.ok(reached <= most, `${reached} requests`);
    },
);

Then(
    "of {int} further requests at least one reached replica 0 or replica 1",
    { timeout: 30_000 },
    async function(this: UpstreamsWorld, count: number) {
        clearRequests(this);
        await waitUntil("one reached them", async () => {
            await callTimes(this, count);
            return countRequests(this, 0) + countRequests(this, 1) > 0;
        });
    },
);

When("the routes name replica {int} as leaving", async function(this: UpstreamsWorld, leaving: number) {
    const routes = this.upstreams.map(({ origin }, index) => ({
        origin,
        state: index === leaving ? "leaving" as const : "serving" as const,
    }));
    firstScheduler(this).offer({}, routes);
    await waitUntil(
        "the gateway has read them",
        () => firstGateway(this).gateway.servingReplicas("beacon-check") === 1,
    );
});

Given("replica {int} says that it is leaving", function(this: UpstreamsWorld, index: number) {
    this.upstreams[index]?.behave((request, socket) =>
        socket.write(
            "HTTP/1.1 503 Leaving\r\ncontent-length: 0\r\nflamingowell-outcome: not-run\r\n"
                + "flamingowell-reason: leaving\r\n\r\n",
        )
    );
});

When("it has said so once", async function(this: UpstreamsWorld) {
    clearRequests(this);
    await waitUntil("it was asked", async () => {
        assert.equal(await callOnce(this), 200);
        return countRequests(this, 0) === 1;
    });
});

Given("a service with 2 replicas and two gateways of which the first knows the second", async function(
    this: UpstreamsWorld,
) {
    const peers: string[] = [];
    await startService(this, { replicas: 2, listPeers: () => peers });
    const schedulers = [firstScheduler(this).origin];
    const second = await startGateway({ schedulers, instance: "entry-2" });
    this.gateways.push(second);
    peers.push(second.peerOrigin);
    await waitUntil(
        "the second gateway knows the routes",
        async () => (await call(`${second.origin}/beacon-check/kits/1`, { body: "x" })).status === 200,
    );
});

When("the second gateway has been told", async function(this: UpstreamsWorld) {
    const [, second] = this.gateways;
    await waitUntil(
        "it has been told",
        async () => await second?.count("flamingowell_leaving_replicas_total", { source: "gateway" }) === 1,
    );
});

Then(
    "{int} requests one after the other through the second gateway are answered by replica 1",
    async function(this: UpstreamsWorld, count: number) {
        clearRequests(this);
        this.gateways.reverse();
        assert.deepEqual([...new Set(await callTimes(this, count))], [200]);
        assert.deepEqual([countRequests(this, 0), countRequests(this, 1)], [0, count]);
    },
);

When("a scheduler with an older epoch offers no replicas", async function(this: UpstreamsWorld) {
    const former = await startScheduler();
    this.schedulers.push(former);
    former.offer({ epoch: 0, version: 99 }, []);
    const schedulers = this.schedulers.map(({ origin }) => origin);
    const gateway = await startGateway({ schedulers, instance: "entry-2" });
    this.gateways.unshift(gateway);
    await waitUntil("routes known", async () => (await callOnce(this)) === 200);
    await waitUntil("the former owner was asked", () => former.reads() > 1);
});

When("the scheduler is gone", async function(this: UpstreamsWorld) {
    await this.schedulers.shift()?.close();
});

Then("{int} requests are answered", async function(this: UpstreamsWorld, count: number) {
    assert.deepEqual([...new Set(await callTimes(this, count))], [200]);
});

Given(
    "a service with 2 replicas, the second in another data centre that is used at {int} times the cost",
    async function(this: UpstreamsWorld, spillFactor: number) {
        const dataCentres = ["levi", "rovaniemi"];
        await startService(this, { replicas: 2, dataCentres, settings: { spillFactor } });
    },
);

Given("a service with 2 replicas, the second in another data centre", async function(this: UpstreamsWorld) {
    await startService(this, { replicas: 2, dataCentres: ["levi", "rovaniemi"] });
});

Then("replica 0 got at least 9 of 10", function(this: UpstreamsWorld) {
    const [near, far] = [countRequests(this, 0), countRequests(this, 1)];
    assert.ok(near >= 9 * far, `${near} near, ${far} far`);
});
