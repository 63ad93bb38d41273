#!/usr/bin/env node
/**
 * `flamingowell-gateway`: answers callers and operators.
 */
import { runDaemon } from "../core/daemon.js";
import { GatewaySettings } from "../settings/gateway.js";
import { startGateway } from "../wiring.js";

await runDaemon({
    name: "flamingowell-gateway",
    schema: GatewaySettings,
    stopLimitMilliseconds: settings => settings.stopLimitMilliseconds,
    start: startGateway,
});
