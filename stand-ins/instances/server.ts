/**
 * The instance list stand-in: `GET /instances` with entity tags, and changes that show after a lag.
 */
import express from "express";
import * as z from "zod";
import { listen, ListenAddress } from "../../src/core/http.js";
import { systemClock } from "../../src/core/time.js";
import { PlatformInstance } from "../../src/platform/instances.js";
import { pauseUnlessZero, readBody, serveControl } from "../support/control.js";

const NOT_MODIFIED_STATUS = 304;

/** Settings of the stand-in; every key has a default. */
export const InstancesStandInSettings = z.strictObject({
    listen: ListenAddress.default({ host: "127.0.0.1", port: 0 }),
    /** Time until a change shows. */
    lagMilliseconds: z.int().min(0).default(0),
});
export type InstancesStandInSettings = z.infer<typeof InstancesStandInSettings>;

/** Faults as posted to the control endpoint; a key that is left out keeps its value. */
export const InstancesFaultChange = z.strictObject({
    down: z.boolean().optional(),
    slowMilliseconds: z.int().min(0).optional(),
    lagMilliseconds: z.int().min(0).optional(),
});
export type InstancesFaultChange = z.infer<typeof InstancesFaultChange>;

/** A running instance list. */
export interface InstancesStandIn {
    readonly origin: string;
    put(instance: PlatformInstance): void;
    remove(name: string): void;
    setFaults(change: InstancesFaultChange): void;
    close(): Promise<void>;
}

interface Change {
    readonly showsAtMilliseconds: number;
    readonly name: string;
    readonly instance: PlatformInstance | undefined;
}

/** Starts an instance list. `initial` shows at once. */
export async function createInstancesStandIn(
    settings: InstancesStandInSettings,
    initial: readonly PlatformInstance[] = [],
): Promise<InstancesStandIn> {
    const clock = systemClock;
    const shown = new Map(initial.map(instance => [instance.name, instance]));
    const faults = { down: false, slowMilliseconds: 0, lagMilliseconds: settings.lagMilliseconds };
    const counts = { lists: 0, unchanged: 0, changes: 0, bytesOut: 0 };
    let changes: Change[] = [];

    function change(name: string, instance: PlatformInstance | undefined): void {
        counts.changes += 1;
        changes.push({ showsAtMilliseconds: clock() + faults.lagMilliseconds, name, instance });
    }

    function showDue(now: number): void {
        for (const { name, instance } of changes.filter(entry => entry.showsAtMilliseconds <= now)) {
            if (instance === undefined) {
                shown.delete(name);
            }
            else {
                shown.set(name, instance);
            }
        }
        changes = changes.filter(entry => entry.showsAtMilliseconds > now);
    }

    function setFaults(update: InstancesFaultChange): void {
        Object.assign(faults, Object.fromEntries(Object.entries(update).filter(([, value]) => value !== undefined)));
    }

    const application = express();
    serveControl(application, {
        schema: InstancesFaultChange,
        setFaults,
        readFaults: () => faults,
        readCounts: () => counts,
    });
    application.get("/instances", async (request, response) => {
        await pauseUnlessZero(faults.slowMilliseconds);
        if (faults.down) {
            response.destroy();
            return;
        }
        showDue(clock());
        const body = JSON.stringify([...shown.values()]);
        counts.lists += 1;
        response.type("application/json").send(body);
        // express compares the entity tags.
        if (response.statusCode === NOT_MODIFIED_STATUS) {
            counts.unchanged += 1;
            return;
        }
        counts.bytesOut += Buffer.byteLength(body);
    });
    application.put("/stand-in/instances/:name", express.json({ type: () => true }), (request, response) => {
        try {
            const instance = readBody(PlatformInstance, request.body);
            change(request.params.name, instance);
            response.json({});
        }
        catch (thrown) {
            response.status(400).json({
                error: { code: "invalid-input", step: "stand-in instances", message: (thrown as Error).message },
            });
        }
    });
    application.delete("/stand-in/instances/:name", (request, response) => {
        change(request.params.name, undefined);
        response.json({});
    });

    const server = await listen(application, settings.listen);
    return {
        origin: server.origin,
        put: instance => change(instance.name, instance),
        remove: name => change(name, undefined),
        setFaults,
        async close() {
            const closed = server.close();
            server.server.closeAllConnections();
            await closed;
        },
    };
}
