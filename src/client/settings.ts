/**
 * Settings of the operators' client.
 */
import * as z from "zod";
import { Origin } from "../core/messages/identity.js";

const DEFAULT_TIMEOUT_MILLISECONDS = 20_000;

export const ClientSettings = z.strictObject({
    /** Operators' ports of gateways; the first that can be reached is asked. */
    gateways: z.array(Origin).default([]),
    /** The operators' token. */
    token: z.string().default(""),
    /** Name under which changes are recorded. */
    by: z.string().min(1).optional(),
    /** Certificates of the authorities that sign the gateways, PEM; for operators' ports that speak TLS. */
    authorityFile: z.string().min(1).optional(),
    /** Time within which a gateway has to answer. */
    timeoutMilliseconds: z.int().min(1).default(DEFAULT_TIMEOUT_MILLISECONDS),
});
export type ClientSettings = z.infer<typeof ClientSettings>;
