/**
 * The plain forwarder that gateways are compared with: express, undici's `request`, the body piped.
 */
import express from "express";
import { Agent, request } from "undici";
import { listen } from "../../src/core/http.js";
import { ForwarderSettings } from "./settings.js";
import { announce, BENCH_ADDRESS, readSettings } from "./support.js";

const DROPPED_HEADERS = ["host", "connection", "content-length", "transfer-encoding"];

const { upstreams } = await readSettings(ForwarderSettings);
const dispatcher = new Agent();
const application = express();
let next = 0;
application.use(async (incoming, outgoing) => {
    next = (next + 1) % upstreams.length;
    const kept = { ...incoming.headers };
    const hasBody = kept["content-length"] !== undefined || kept["transfer-encoding"] !== undefined;
    DROPPED_HEADERS.forEach(name => Reflect.deleteProperty(kept, name));
    const answer = await request((upstreams[next] ?? "") + incoming.url, {
        method: incoming.method,
        headers: kept,
        body: hasBody ? incoming : null,
        dispatcher,
    });
    outgoing.writeHead(answer.statusCode, answer.headers);
    answer.body.pipe(outgoing);
});
const server = await listen(application, BENCH_ADDRESS);
announce({ callers: server.origin });
