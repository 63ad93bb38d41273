/**
 * Steps for leaving announcements, and for one process's handling of updates and unanswered probes.
 */
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { Member } from "../../src/membership/member.js";
import type { Membership } from "../../src/membership/membership.js";
import { createRoster } from "../../src/membership/roster.js";
import type { Roster } from "../../src/membership/roster.js";
import { createNetwork, describeMember } from "./network.js";

const SEED = 11;
const SUSPICION_MILLISECONDS = 1_000;
const PEER = "entry-1/gateway";

interface LeaveWorld {
    roster: Roster;
    network: Membership[];
}

Given("a process that knows one peer", function(this: LeaveWorld) {
    this.roster = createRoster("entry-9/gateway");
    mergeState(this, "alive");
});

When("it receives an update that the peer is {string}", function(this: LeaveWorld, state: Member["state"]) {
    mergeState(this, state);
});

When(
    "it receives an update that the peer is {string} and then that it is {string}",
    function(this: LeaveWorld, first: Member["state"], second: Member["state"]) {
        mergeState(this, first);
        mergeState(this, second);
    },
);

When("the peer does not answer {int} probe(s)", function(this: LeaveWorld, probes: number) {
    for (let probe = 0; probe < probes; probe += 1) {
        this.roster.recordSilence(describeMember("entry-1"), 0);
    }
});

When("the peer answers", function(this: LeaveWorld) {
    this.roster.recordAnswer(describeMember("entry-1", { state: "leaving" }));
});

When("the peer refutes the suspicion", function(this: LeaveWorld) {
    this.roster.merge(describeMember("entry-1", { incarnation: 2 }));
});

When("the suspicion time is over", function(this: LeaveWorld) {
    this.roster.expire(SUSPICION_MILLISECONDS, SUSPICION_MILLISECONDS);
});

Then("it sees the peer as {string}", function(this: LeaveWorld, state: string) {
    assert.equal(this.roster.get(PEER)?.member.state, state);
});

Then("it passes the peer on as {string}", function(this: LeaveWorld, state: string) {
    assert.deepEqual(this.roster.pickChanges(1).map(member => member.state), [state]);
});

Given(
    "{int} processes whose first message to each other is lost",
    async function(this: LeaveWorld, size: number) {
        this.network = await createNetwork(size, SEED);
    },
);

When("one of them leaves", async function(this: LeaveWorld) {
    await this.network[0]?.leave();
});

Then("{int} of the others have received its announcement", function(this: LeaveWorld, count: number) {
    assert.equal(countInformed(this), count);
});

Then(
    "{int} to {int} of the others have received its announcement",
    function(this: LeaveWorld, least: number, most: number) {
        const heard = countInformed(this);
        assert.ok(heard >= least && heard <= most, `${heard} have received it`);
    },
);

function mergeState(world: LeaveWorld, state: Member["state"]): void {
    world.roster.merge(describeMember("entry-1", { state }));
}

function countInformed(world: LeaveWorld): number {
    const leaver = world.network[0]?.source.self().instance;
    return world.network.filter(({ source }) =>
        source.members().some(member => member.instance === leaver && member.state === "leaving")
    ).length;
}
