/**
 * A process with only the membership, the configuration feed and the operators' surface, for tests and benches with
 * many
 * processes. It can cut its own links or drop messages on them, in both directions.
 *
 * Control: `POST /control` on the operators' port with `LinkFaults`; `GET /control` returns the process's state,
 * with `?team=NAME` the revisions of one team only.
 */
import Emittery from "emittery";
import express from "express";
import type { RequestHandler } from "express";
import { parseArgs } from "node:util";
import type { Result } from "true-myth/result";
import * as z from "zod";
import { createConfigurationFeed } from "../../src/configuration/feed.js";
import { ConfigurationSettings } from "../../src/configuration/settings.js";
import { fail, formatFailure } from "../../src/core/errors.js";
import type { Failure } from "../../src/core/errors.js";
import { listen } from "../../src/core/http.js";
import { createLogger } from "../../src/core/log.js";
import { Role } from "../../src/core/messages/identity.js";
import { createMetrics } from "../../src/core/metrics.js";
import { createRandom } from "../../src/core/random.js";
import { createRpcClient, createRpcRouter } from "../../src/core/rpc.js";
import type { RpcClient } from "../../src/core/rpc.js";
import { loadSettings } from "../../src/core/settings.js";
import { pause, systemClock } from "../../src/core/time.js";
import { getMemberName } from "../../src/membership/member.js";
import { createMembership } from "../../src/membership/membership.js";
import { MembershipSettings } from "../../src/membership/settings.js";
import { createOperatorSurface } from "../../src/operator/operator.js";
import { OperatorSettings } from "../../src/operator/settings.js";
import { createInstanceList } from "../../src/platform/adapters/instances.js";
import { createStore } from "../../src/platform/adapters/store.js";
import type { Store } from "../../src/platform/store.js";

const NodeSettings = z.strictObject({
    instance: z.string(),
    role: Role,
    dataCentre: z.string(),
    store: z.string(),
    instanceList: z.string(),
    token: z.string(),
    seed: z.int(),
    membership: MembershipSettings.prefault({}),
    configuration: ConfigurationSettings.prefault({}),
    operator: OperatorSettings.prefault({}),
});

const LinkFaults = z.strictObject({
    /** Share of messages dropped in each direction. */
    loss: z.number().min(0).max(1).default(0),
    /** Drops all messages in both directions and makes the store unreachable as well. */
    cut: z.boolean().default(false),
    /** Origins to which outgoing messages are dropped. */
    cutTo: z.array(z.string()).default([]),
});
type LinkFaults = z.infer<typeof LinkFaults>;

const PLATFORM_TIMEOUT_MILLISECONDS = 1_000;
const CALL_TIMEOUT_MILLISECONDS = 1_000;

const { values } = parseArgs({ options: { settings: { type: "string" } } });
const loaded = await loadSettings(values.settings ?? "", NodeSettings);
if (loaded.isErr) {
    throw new Error(loaded.error.map(formatFailure).join("\n"));
}
await run(loaded.value);

async function run(settings: z.infer<typeof NodeSettings>): Promise<void> {
    const random = createRandom(settings.seed);
    const faults: LinkFaults = { loss: 0, cut: false, cutTo: [] };
    const traffic = { messages: 0, bytes: 0, revisions: [] as { team: string; revision: number; at: number; }[] };
    const cuts = new Emittery<{ cut: undefined; }>();
    const drops = () => faults.cut || random() < faults.loss;
    const peersApplication = express();
    const peers = await listen(peersApplication, { host: "127.0.0.1", port: 0 });
    const common = {
        clock: systemClock,
        random,
        metrics: createMetrics({ instance: settings.instance }),
        logger: createLogger("node", { instance: settings.instance }),
        rpc: loseMessages(
            createRpcClient({ token: settings.token, timeoutMilliseconds: CALL_TIMEOUT_MILLISECONDS }),
            origin => drops() || faults.cutTo.includes(origin),
            traffic,
        ),
    };
    const store = cutStore(
        createStore({ origins: [settings.store], timeoutMilliseconds: PLATFORM_TIMEOUT_MILLISECONDS }),
        () => faults.cut,
        cuts,
    );
    const instanceList = createInstanceList({
        origin: settings.instanceList,
        timeoutMilliseconds: PLATFORM_TIMEOUT_MILLISECONDS,
    });
    const membership = createMembership({
        ...common,
        self: {
            instance: settings.instance,
            role: settings.role,
            dataCentre: settings.dataCentre,
            origin: peers.origin,
            incarnation: Math.floor(systemClock()),
        },
        configurationRevision: () => feed.source.current()?.revision ?? 0,
        settings: settings.membership,
        instanceList,
    });
    const feed = createConfigurationFeed({
        ...common,
        settings: settings.configuration,
        store,
        membership: membership.source,
    });
    const surface = createOperatorSurface({
        ...common,
        settings: settings.operator,
        store,
        instanceList,
        feed,
        membership: membership.source,
    });
    const lastSeen = new Map<string, number>();
    feed.source.onChange(configuration => {
        for (const { team, revision } of configuration.documents) {
            // A return to an earlier revision must be recorded as well.
            if (lastSeen.get(team) !== revision) {
                lastSeen.set(team, revision);
                traffic.revisions.push({ team, revision, at: systemClock() });
            }
        }
    });
    const states: { name: string; state: string; }[] = [];
    membership.source.onChange(() => {
        for (const member of membership.source.members()) {
            const name = getMemberName(member);
            if (states.findLast(seen => seen.name === name)?.state !== member.state) {
                states.push({ name, state: member.state });
            }
        }
    });
    peersApplication.use(loseRequests(drops, traffic));
    peersApplication.use(
        createRpcRouter({ handlers: [...membership.handlers, ...feed.handlers], token: settings.token }),
    );
    const operatorsApplication = express();
    operatorsApplication.get("/control", (request, response) => {
        const { team } = request.query;
        response.json({
            ...traffic,
            revisions: team === undefined
                ? traffic.revisions
                : traffic.revisions.filter(revision => revision.team === team),
            teams: lastSeen.size,
            states,
            self: membership.source.self(),
            members: membership.source.members(),
            revision: feed.source.current()?.revision ?? -1,
            residentBytes: process.memoryUsage().rss,
            processorMicroseconds: process.cpuUsage().user + process.cpuUsage().system,
        });
    });
    operatorsApplication.get("/metrics", async (request, response) => {
        response.type("text/plain").send(await common.metrics.registry.metrics());
    });
    operatorsApplication.post("/control", express.json(), (request, response) => {
        Object.assign(faults, LinkFaults.parse(request.body));
        if (faults.cut) {
            void cuts.emit("cut");
        }
        response.json(faults);
    });
    operatorsApplication.use(createRpcRouter({ handlers: surface.handlers, token: settings.token }));
    const operators = await listen(operatorsApplication, { host: "127.0.0.1", port: 0 });
    const stopped = new AbortController();
    const work = Promise.all([membership.run(stopped.signal), feed.run(stopped.signal), surface.run(stopped.signal)]);
    process.once("SIGTERM", async () => {
        await membership.leave();
        stopped.abort();
        await work;
        process.exit(0);
    });
    console.log(JSON.stringify({ event: "listening", peers: peers.origin, operators: operators.origin }));
}

/** Drops messages of outgoing calls; such a call fails after its timeout, as on a dead link. */
function loseMessages(
    rpc: RpcClient,
    drops: (origin: string) => boolean,
    traffic: { messages: number; },
): RpcClient {
    return {
        async call(origin, method, params, options) {
            traffic.messages += 1;
            if (drops(origin)) {
                await pause(options?.timeoutMilliseconds ?? CALL_TIMEOUT_MILLISECONDS, options?.signal);
                return fail("timeout", method.name, "the message was lost", { peer: origin });
            }
            return rpc.call(origin, method, params, options);
        },
    };
}

/** Makes store calls fail while the links are cut, and breaks open watches. */
function cutStore(store: Store, isCut: () => boolean, cuts: Emittery<{ cut: undefined; }>): Store {
    const unlessCut = <Value>(call: () => Promise<Result<Value, Failure>>) =>
        isCut() ? Promise.resolve(fail<Value>("unavailable", "store", "the link is cut")) : call();
    return {
        ...store,
        read: request => unlessCut(() => store.read(request)),
        transact: transaction => unlessCut(() => store.transact(transaction)),
        watch: request =>
            unlessCut(() => {
                const broken = new AbortController();
                cuts.once("cut").then(() => broken.abort(), () => undefined);
                return store.watch({ ...request, signal: AbortSignal.any([request.signal, broken.signal]) });
            }),
    };
}

/** Drops incoming requests without an answer, and counts the bytes of the others, including headers and answers. */
function loseRequests(drops: () => boolean, traffic: { bytes: number; }): RequestHandler {
    return (request, response, next) => {
        if (drops()) {
            return;
        }
        const { socket } = request;
        const before = socket.bytesRead + socket.bytesWritten;
        response.once("finish", () => {
            const headers = request.rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);
            traffic.bytes += Math.max(0, socket.bytesRead + socket.bytesWritten - before) + headers
                + Number(request.headers["content-length"] ?? 0);
        });
        next();
    };
}
