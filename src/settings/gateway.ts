/**
 * Settings of the gateway.
 */
import { z } from "zod";
import { ListenAddress } from "../core/http.js";
import { commonSettings } from "./common.js";

export const GatewaySettings = z.strictObject({
    ...commonSettings,
    /** Port for callers. */
    callers: ListenAddress,
    /** Port for operators: JSON-RPC under the operator token. */
    operators: ListenAddress,
    operatorToken: z.string().min(8),
});
export type GatewaySettings = z.infer<typeof GatewaySettings>;
