/**
 * Settings of the gateway.
 */
import * as z from "zod";
import { ListenAddress } from "../core/http.js";
import { ExclusiveSettings } from "../gateway/exclusive/settings.js";
import { IdempotencySettings } from "../gateway/idempotency/settings.js";
import { RequestSettings } from "../gateway/settings.js";
import { OperatorSettings } from "../operator/settings.js";
import { commonSettings } from "./common.js";

/** Settings file of `flamingowell-gateway`. */
export const GatewaySettings = z.strictObject({
    ...commonSettings,
    /** Port for callers. */
    callers: ListenAddress,
    /** Port for operators: JSON-RPC under the operator token. */
    operators: ListenAddress,
    /** Shared secret of the operators. */
    operatorToken: z.string().min(8),
    requests: RequestSettings.prefault({}),
    exclusive: ExclusiveSettings.prefault({}),
    idempotency: IdempotencySettings.prefault({}),
    operator: OperatorSettings.prefault({}),
});
export type GatewaySettings = z.infer<typeof GatewaySettings>;
