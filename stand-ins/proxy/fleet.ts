/**
 * Many named proxies with one control endpoint: `GET /stand-in/proxies`, `POST /stand-in/proxies/NAME`.
 */
import express from "express";
import * as z from "zod";
import { listen } from "../../src/core/http.js";
import { hashText } from "../../src/core/random.js";
import { readBody } from "../support/control.js";
import { createProxy } from "./proxy.js";
import type { Proxy } from "./proxy.js";
import { ProxyRuleChange } from "./rules.js";

const ProxyChange = z.strictObject({
    target: z.strictObject({ host: z.string(), port: z.int() }).optional(),
    rules: ProxyRuleChange.optional(),
});

/** A running fleet of proxies. */
export interface ProxyFleet {
    readonly controlOrigin: string;
    readonly proxies: ReadonlyMap<string, Proxy>;
    close(): Promise<void>;
}

/** Starts a proxy for each name, without targets. */
export async function createProxyFleet(host: string, names: readonly string[], seed: number): Promise<ProxyFleet> {
    const proxies = new Map<string, Proxy>();
    for (const name of names) {
        proxies.set(name, await createProxy({ host, seed: seed ^ hashText(name) }));
    }
    const application = express();
    application.get("/stand-in/proxies", (request, response) => {
        response.json([...proxies].map(([name, { counts, origin, rules }]) => ({ name, origin, rules, counts })));
    });
    application.post("/stand-in/proxies/:name", express.json({ type: () => true }), (request, response) => {
        const proxy = proxies.get(request.params.name);
        if (proxy === undefined) {
            response.status(404).json({ error: { message: `no proxy is named ${request.params.name}` } });
            return;
        }
        try {
            change(proxy, readBody(ProxyChange, request.body));
            response.json({ rules: proxy.rules });
        }
        catch (thrown) {
            response.status(400).json({ error: { message: (thrown as Error).message } });
        }
    });
    const control = await listen(application, { host, port: 0 });
    return {
        controlOrigin: control.origin,
        proxies,
        async close() {
            const closed = control.close();
            control.server.closeAllConnections();
            await Promise.all([closed, ...[...proxies.values()].map(proxy => proxy.close())]);
        },
    };
}

function change(proxy: Proxy, wanted: z.infer<typeof ProxyChange>): void {
    if (wanted.target !== undefined) {
        proxy.setTarget(wanted.target);
    }
    if (wanted.rules !== undefined) {
        proxy.setRules(wanted.rules);
    }
}
