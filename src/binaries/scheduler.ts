#!/usr/bin/env node
/**
 * `flamingowell-scheduler`: places tasks, keeps their leases, records what became of them.
 */
import { runDaemon } from "../core/daemon.js";
import { SchedulerSettings } from "../settings/scheduler.js";
import { startScheduler } from "../wiring.js";

await runDaemon({
    name: "flamingowell-scheduler",
    schema: SchedulerSettings,
    stopLimitMilliseconds: settings => settings.stopLimitMilliseconds,
    start: startScheduler,
});
