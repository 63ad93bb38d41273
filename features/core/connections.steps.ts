/**
 * Steps for servers that close and for limits on signals.
 */
import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { connect } from "node:net";
import type { Socket } from "node:net";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { Agent, request } from "undici";
import { listen } from "../../src/core/http.js";
import type { RunningServer } from "../../src/core/http.js";
import { limitSignal, pause } from "../../src/core/time.js";

const ANSWER = "x".repeat(2_000);
const ANSWER_MILLISECONDS = 20;
const POLL_MILLISECONDS = 10;
const COLLECTIONS = 5;
const limit = { timeout: 60_000 };

interface ConnectionsWorld {
    closingServer: RunningServer;
    busyClient: Agent;
    halfSentSocket: Socket;
    clientStopped: boolean;
    calling: Promise<void>;
    answers: string[];
    closing: Promise<void>;
    owners: AbortController[];
    aborted: number;
}

After(async function(this: Partial<ConnectionsWorld>) {
    this.clientStopped = true;
    this.halfSentSocket?.destroy();
    await this.busyClient?.destroy();
    this.closingServer?.server.closeAllConnections();
    await this.calling;
});

Given("a server whose client calls again as soon as it has an answer", limit, async function(this: ConnectionsWorld) {
    this.closingServer = await listen((incoming, response) => {
        void pause(ANSWER_MILLISECONDS).then(() => response.end(ANSWER));
    }, { host: "127.0.0.1", port: 0 });
    this.busyClient = new Agent({ connections: 1 });
    this.clientStopped = false;
    this.answers = [];
    this.calling = callOn(this);
    while (this.answers.length === 0) {
        await pause(POLL_MILLISECONDS);
    }
});

Given("a server with a connection that has sent half a request", limit, async function(this: ConnectionsWorld) {
    let hasBegun = false;
    this.closingServer = await listen(incoming => {
        hasBegun = true;
        incoming.resume();
    }, { host: "127.0.0.1", port: 0 });
    this.halfSentSocket = connect({ host: "127.0.0.1", port: this.closingServer.port });
    this.halfSentSocket.on("error", () => undefined);
    this.halfSentSocket.write("POST / HTTP/1.1\r\nhost: test\r\ncontent-length: 100\r\n\r\nhalf");
    while (!hasBegun) {
        await pause(POLL_MILLISECONDS);
    }
});

async function callOn(world: ConnectionsWorld): Promise<void> {
    while (!world.clientStopped) {
        try {
            const answer = await request(world.closingServer.origin, { dispatcher: world.busyClient });
            world.answers.push(await answer.body.text());
        }
        catch {
            // The server is gone; the answers that had begun are judged.
            return;
        }
    }
}

When("the server closes", function(this: ConnectionsWorld) {
    this.closing = this.closingServer.close();
});

Then("the server has closed", limit, async function(this: ConnectionsWorld) {
    await this.closing;
});

Then("every answer that was begun was whole", function(this: ConnectionsWorld) {
    assert.ok(this.answers.length > 0);
    assert.deepEqual([...new Set(this.answers)], [ANSWER]);
});

Given(
    "{int} signals limited to {int} ms that only their listeners refer to",
    function(this: ConnectionsWorld, count: number, milliseconds: number) {
        this.aborted = 0;
        this.owners = Array.from({ length: count }, () => new AbortController());
        for (const { signal } of this.owners) {
            limitSignal(signal, milliseconds).addEventListener("abort", () => {
                this.aborted += 1;
            }, { once: true });
        }
    },
);

When("memory is collected", async function() {
    setFlagsFromString("--expose-gc");
    const collect = runInNewContext("gc") as () => void;
    for (let round = 0; round < COLLECTIONS; round += 1) {
        collect();
        await pause(POLL_MILLISECONDS);
    }
});

Then("all {int} signals are aborted", limit, async function(this: ConnectionsWorld, count: number) {
    while (this.aborted < count) {
        await pause(POLL_MILLISECONDS);
    }
});
