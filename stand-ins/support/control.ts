/**
 * Control endpoints that all stand-ins share: `POST /stand-in/faults`, `GET /stand-in/faults`, `GET /stand-in/counts`.
 */
import express from "express";
import type { Express } from "express";
import type { z } from "zod";
import { formatFailure } from "../../src/core/errors.js";
import { parse } from "../../src/core/parse.js";
import { pause } from "../../src/core/time.js";

/** What a stand-in shows at its control endpoints. */
export interface Control<Schema extends z.ZodType> {
    readonly schema: Schema;
    setFaults(change: z.output<Schema>): void;
    readFaults(): unknown;
    readCounts(): unknown;
}

/** Adds the control endpoints to an application. */
export function serveControl<Schema extends z.ZodType>(application: Express, control: Control<Schema>): void {
    application.get("/stand-in/counts", (request, response) => {
        response.json(control.readCounts());
    });
    application.get("/stand-in/faults", (request, response) => {
        response.json(control.readFaults());
    });
    application.post("/stand-in/faults", express.json({ type: () => true }), (request, response) => {
        const change = parse(control.schema, request.body, "stand-in faults");
        if (change.isErr) {
            response.status(400).json({ error: change.error });
            return;
        }
        control.setFaults(change.value);
        response.json(control.readFaults());
    });
}

/** Checks a body; throws an error that names the bad place. */
export function readBody<Schema extends z.ZodType>(schema: Schema, body: unknown): z.output<Schema> {
    const parsed = parse(schema, body, "body");
    if (parsed.isErr) {
        throw new Error(formatFailure(parsed.error));
    }
    return parsed.value;
}

/** Waits; does not even yield where there is nothing to wait for. */
export async function pauseUnlessZero(milliseconds: number): Promise<void> {
    if (milliseconds > 0) {
        await pause(milliseconds);
    }
}
