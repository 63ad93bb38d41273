/**
 * Steps shared by all features with a fleet of processes.
 */
import { After, Given } from "@cucumber/cucumber";
import type { Fleet } from "../membership/fleet.js";
import { startFleet, waitFor } from "../membership/fleet.js";

/** Timeout of one step. */
export const STEP_LIMIT_MILLISECONDS = 90_000;

/** Seed of all fleets in tests. */
const SEED = 7;

/** Short intervals that speed up scenarios; no scenario asserts them. */
const parts = {
    membership: {
        listIntervalMilliseconds: 200,
        probeIntervalMilliseconds: 60,
        probeTimeoutMilliseconds: 150,
        suspicionMilliseconds: 600,
        leaveLimitMilliseconds: 30_000,
    },
    configuration: { compareIntervalMilliseconds: 200, headIntervalMilliseconds: 200, storeRetryMilliseconds: 100 },
};

/** World of scenarios with a fleet. */
export interface FleetWorld {
    nodeFleet: Fleet;
}

Given(
    "a fleet of {int} entry instances that know the rules",
    { timeout: STEP_LIMIT_MILLISECONDS },
    async function(this: FleetWorld, instances: number) {
        this.nodeFleet = await startFleet({ instances, seed: SEED, parts });
        await waitFor("every process knows the rules and all peers", async () => {
            const reports = await Promise.all(this.nodeFleet.nodes.map(node => this.nodeFleet.read(node)));
            return reports.every(report =>
                report.revision >= 0
                && report.members.filter(member => member.incarnation > 0).length === this.nodeFleet.nodes.length - 1
            );
        });
    },
);

Given(
    "a fleet of {int} entry instances whose store is down",
    { timeout: STEP_LIMIT_MILLISECONDS },
    async function(this: FleetWorld, instances: number) {
        this.nodeFleet = await startFleet({ instances, seed: SEED, parts, storeDown: true });
    },
);

After(async function(this: Partial<FleetWorld>) {
    await this.nodeFleet?.stop();
});
