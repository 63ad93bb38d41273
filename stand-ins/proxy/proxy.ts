/**
 * A TCP proxy that injects faults; its rules and its target change at run time.
 */
import { once } from "node:events";
import { connect, createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { createRandom } from "../../src/core/random.js";
import type { Random } from "../../src/core/random.js";
import { pauseUnlessZero } from "../support/control.js";
import { createProxyRules } from "./rules.js";
import type { ProxyRuleChange, ProxyRules, Silence } from "./rules.js";

/** Where a proxy connects to. */
export interface ProxyTarget {
    readonly host: string;
    readonly port: number;
}

/** Options of a proxy. */
export interface ProxyOptions {
    readonly host: string;
    readonly port?: number;
    /** Connections are closed at once while there is no target. */
    readonly target?: ProxyTarget;
    readonly seed: number;
}

/** Counts since the start. */
export interface ProxyCounts {
    connections: number;
    open: number;
    bytesToTarget: number;
    bytesToClient: number;
    /** Connections that a rule closed or made silent. */
    harmed: number;
}

/** A running proxy. */
export interface Proxy {
    readonly origin: string;
    readonly port: number;
    readonly counts: Readonly<ProxyCounts>;
    readonly rules: Readonly<ProxyRules>;
    setRules(change: ProxyRuleChange): void;
    setTarget(target: ProxyTarget): void;
    close(): Promise<void>;
}

interface Link {
    readonly client: Socket;
    readonly target: Socket;
    readonly delayMilliseconds: number;
    silence: Silence;
    sentToClient: number;
    answered: boolean;
}

const MOST_WAITING_BYTES = 1_048_576;

type Direction = "to-target" | "to-client";

/** Starts a proxy. */
export async function createProxy(options: ProxyOptions): Promise<Proxy> {
    const random = createRandom(options.seed);
    const rules = createProxyRules();
    const counts: ProxyCounts = { connections: 0, open: 0, bytesToTarget: 0, bytesToClient: 0, harmed: 0 };
    const links = new Set<Link>();
    let target = options.target;

    const server = createServer({ allowHalfOpen: true, noDelay: true }, client => {
        counts.connections += 1;
        if (rules.refuse || target === undefined) {
            counts.harmed += rules.refuse ? 1 : 0;
            client.destroy();
            return;
        }
        carry(client, target, { rules, counts, links, random });
    });
    server.listen(options.port ?? 0, options.host);
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;

    function setRules(change: ProxyRuleChange): void {
        const { cut, silenceOpen, ...kept } = change;
        Object.assign(rules, Object.fromEntries(Object.entries(kept).filter(([, value]) => value !== undefined)));
        for (const link of links) {
            if (silenceOpen !== undefined) {
                link.silence = silenceOpen;
                counts.harmed += 1;
            }
            if (cut === true) {
                counts.harmed += 1;
                destroy(link);
            }
        }
    }

    return {
        origin: `http://${options.host}:${port}`,
        port,
        counts,
        rules,
        setRules,
        setTarget(next) {
            target = next;
        },
        async close() {
            const closed = once(server, "close");
            server.close();
            links.forEach(destroy);
            await closed;
        },
    };
}

interface ProxyState {
    readonly rules: ProxyRules;
    readonly counts: ProxyCounts;
    readonly links: Set<Link>;
    readonly random: Random;
}

function carry(client: Socket, target: ProxyTarget, state: ProxyState): void {
    const link: Link = {
        client,
        target: connect({ host: target.host, port: target.port, allowHalfOpen: true, noDelay: true }),
        delayMilliseconds: state.random() * state.rules.spreadMilliseconds,
        silence: "none",
        sentToClient: 0,
        answered: false,
    };
    state.links.add(link);
    state.counts.open += 1;
    let isClosed = false;
    const closeBoth = (): void => {
        if (isClosed || isSilent(link, state.rules, "to-client") || isSilent(link, state.rules, "to-target")) {
            return;
        }
        isClosed = true;
        destroy(link);
    };
    for (const socket of [client, link.target]) {
        socket.on("error", closeBoth);
        socket.on("close", () => {
            closeBoth();
            if (client.destroyed && link.target.destroyed && state.links.delete(link)) {
                state.counts.open -= 1;
            }
        });
    }
    void pump(client, link.target, "to-target", link, state);
    void pump(link.target, client, "to-client", link, state);
}

/** Carries bytes in one direction until it ends; the delay keeps their order. */
async function pump(from: Socket, to: Socket, direction: Direction, link: Link, state: ProxyState): Promise<void> {
    let passed: Promise<void> = Promise.resolve();
    let waitingBytes = 0;
    try {
        for await (const chunk of from as AsyncIterable<Buffer>) {
            const dueAt = performance.now() + state.rules.delayMilliseconds + link.delayMilliseconds;
            waitingBytes += chunk.length;
            passed = passed.then(async () => {
                await pauseUnlessZero(dueAt - performance.now());
                await pass(chunk, to, direction, link, state);
                waitingBytes -= chunk.length;
            });
            if (waitingBytes > MOST_WAITING_BYTES) {
                await passed;
            }
        }
        await passed;
        if (!isSilent(link, state.rules, direction)) {
            to.end();
        }
    }
    catch {
        // Both ends are told by the handlers of "error" and "close".
    }
}

async function pass(chunk: Buffer, to: Socket, direction: Direction, link: Link, state: ProxyState): Promise<void> {
    if (isSilent(link, state.rules, direction)) {
        return;
    }
    if (direction === "to-target") {
        state.counts.bytesToTarget += chunk.length;
        link.answered = false;
        await write(to, chunk);
        return;
    }
    const allowed = limitAnswer(chunk, link, state);
    link.sentToClient += allowed.length;
    state.counts.bytesToClient += allowed.length;
    await write(to, allowed);
    if (allowed.length < chunk.length) {
        state.counts.harmed += 1;
        // A reset may overtake the bytes before it, an orderly end does not.
        to.end(() => destroy(link));
    }
}

function limitAnswer(chunk: Buffer, link: Link, { rules }: ProxyState): Buffer {
    if (!link.answered) {
        link.answered = true;
        if (rules.dropAnswers > 0) {
            rules.dropAnswers -= 1;
            return chunk.subarray(0, 0);
        }
    }
    const left = rules.truncateAfterBytes - link.sentToClient;
    return rules.truncateAfterBytes > 0 && left < chunk.length ? chunk.subarray(0, Math.max(0, left)) : chunk;
}

function isSilent(link: Link, rules: ProxyRules, direction: Direction): boolean {
    return [link.silence, rules.silence].some(silence => silence === "both" || silence === direction);
}

async function write(to: Socket, chunk: Buffer): Promise<void> {
    if (chunk.length > 0 && !to.destroyed && !to.write(chunk)) {
        await Promise.race([once(to, "drain"), once(to, "close")]);
    }
}

function destroy(link: Link): void {
    link.client.destroy();
    link.target.destroy();
}
