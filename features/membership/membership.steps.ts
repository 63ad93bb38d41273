/**
 * Steps for the membership.
 */
import { Then, When } from "@cucumber/cucumber";
import fastCheck from "fast-check";
import assert from "node:assert/strict";
import { getMemberName } from "../../src/membership/member.js";
import type { Member } from "../../src/membership/member.js";
import { createRoster } from "../../src/membership/roster.js";
import { STEP_LIMIT_MILLISECONDS } from "../rules/fleet.steps.js";
import type { FleetWorld } from "../rules/fleet.steps.js";
import { waitFor } from "./fleet.js";
import type { FleetNode } from "./fleet.js";

const SEED = 20_261_204;
const PROBES = "flamingowell_membership_probes_total";
const limit = { timeout: STEP_LIMIT_MILLISECONDS };

interface MembershipWorld extends FleetWorld {
    target: FleetNode;
    incarnation: number;
}

When("the gateway of instance {int} is killed", async function(this: MembershipWorld, instance: number) {
    await selectTarget(this, instance);
    await this.nodeFleet.kill(this.target);
});

When("the gateway of instance {int} restarts", limit, async function(this: MembershipWorld, instance: number) {
    await this.nodeFleet.restart(gatewayOf(this, instance));
});

When("the gateway of instance {int} stops gracefully", async function(this: MembershipWorld, instance: number) {
    await selectTarget(this, instance);
    this.target.running = false;
    const code = await this.target.process.stop();
    assert.equal(code, 0);
});

When("the gateway of instance {int} is paused", async function(this: MembershipWorld, instance: number) {
    await selectTarget(this, instance);
    this.target.process.pause();
});

When("the gateway of instance {int} goes on", function(this: MembershipWorld, instance: number) {
    gatewayOf(this, instance).process.resume();
});

When(
    "nothing passes from the gateway of instance {int} to the gateway of instance {int}",
    async function(this: MembershipWorld, from: number, to: number) {
        const origin = gatewayOf(this, to).process.announcement["peers"] ?? "";
        await this.nodeFleet.setLinks(gatewayOf(this, from), { cutTo: [origin] });
    },
);

When(/^the links of instances (\d) and (\d) are (cut|whole again)$/, async function(
    this: MembershipWorld,
    first: string,
    second: string,
    state: string,
) {
    const names = [`entry-${first}`, `entry-${second}`];
    const nodes = this.nodeFleet.nodes.filter(node => names.includes(node.instance));
    await Promise.all(nodes.map(node => this.nodeFleet.setLinks(node, { cut: state === "cut" })));
});

When("the processes of instance {int} are killed and the list drops it", async function(
    this: MembershipWorld,
    instance: number,
) {
    const nodes = this.nodeFleet.nodes.filter(node => node.instance === `entry-${instance}`);
    await Promise.all(nodes.map(node => this.nodeFleet.kill(node)));
    this.nodeFleet.instanceList.remove(`entry-${instance}`);
});

Then("every other process sees the gateway of instance {int} as {string}", limit, async function(
    this: MembershipWorld,
    instance: number,
    state: string,
) {
    const target = gatewayOf(this, instance);
    const dead = state === "dead";
    // In a partition, the other side sees all remaining processes as dead, so only instances 1 and 2 are checked.
    const others = this.nodeFleet.nodes.filter(node => node.running && Number(node.instance.slice(6)) < (dead ? 3 : 9));
    for (const node of others.filter(other => other !== target)) {
        await waitFor(`${node.name} sees ${target.name} as ${state}`, async () => {
            const { members } = await this.nodeFleet.read(node);
            return members.find(member => getMemberName(member) === target.name)?.state === state;
        });
    }
});

Then("every process sees every other as {string}", limit, async function(this: MembershipWorld, state: string) {
    for (const node of this.nodeFleet.nodes) {
        await waitFor(`${node.name} sees all as ${state}`, async () => {
            const { members } = await this.nodeFleet.read(node);
            return members.length === this.nodeFleet.nodes.length - 1
                && members.every(member => member.state === state);
        });
    }
});

Then("its incarnation has risen", async function(this: MembershipWorld) {
    const { self } = await this.nodeFleet.read(this.target);
    assert.ok(self.incarnation > this.incarnation);
});

Then(
    "every other process sees the gateway of instance {int} as leaving before it sees it as dead",
    limit,
    async function(this: MembershipWorld, instance: number) {
        const target = gatewayOf(this, instance);
        for (const node of this.nodeFleet.nodes.filter(other => other !== target)) {
            await waitFor(
                `${node.name} has seen a state change`,
                async () => (await readHistory(this, node, target)).length > 0,
            );
            const states = await readHistory(this, node, target);
            assert.equal(states.find(state => state !== "alive"), "leaving", `${node.name}: ${states.join(", ")}`);
        }
    },
);

Then("the gateway of instance {int} reaches peers through others {int} times", limit, async function(
    this: MembershipWorld,
    instance: number,
    times: number,
) {
    const node = gatewayOf(this, instance);
    await waitFor(
        "probes went through others",
        async () => await this.nodeFleet.readMetric(node, PROBES, "indirect") >= times,
    );
});

Then("no process has suspected a peer", async function(this: MembershipWorld) {
    for (const node of this.nodeFleet.nodes) {
        assert.equal(await this.nodeFleet.readMetric(node, PROBES, '"none"'), 0, node.name);
        const { members } = await this.nodeFleet.read(node);
        assert.ok(members.every(member => member.state === "alive"), node.name);
    }
});

Then("no process of instances 1 and 2 knows a member of instance {int}", limit, async function(
    this: MembershipWorld,
    instance: number,
) {
    for (const node of this.nodeFleet.nodes.filter(other => other.running)) {
        await waitFor(`${node.name} has forgotten`, async () => {
            const { members } = await this.nodeFleet.read(node);
            return members.every(member => member.instance !== `entry-${instance}`);
        });
    }
});

Then("two processes that receive the same updates in any order reach the same state", () => {
    const news: fastCheck.Arbitrary<Member> = fastCheck.record({
        instance: fastCheck.constantFrom("entry-1", "entry-2"),
        role: fastCheck.constant("gateway" as const),
        dataCentre: fastCheck.constant("levi"),
        origin: fastCheck.constant("http://127.0.0.1:1"),
        incarnation: fastCheck.nat({ max: 3 }),
        state: fastCheck.constantFrom("alive" as const, "suspect" as const, "leaving" as const, "dead" as const),
        configurationRevision: fastCheck.constant(0),
    });
    const orders = fastCheck.array(news, { minLength: 1, maxLength: 12 }).chain(first =>
        fastCheck.record({
            first: fastCheck.constant(first),
            second: fastCheck.shuffledSubarray(first, { minLength: first.length, maxLength: first.length }),
        })
    );
    fastCheck.assert(
        fastCheck.property(orders, ({ first, second }) => {
            assert.deepEqual(mergeAll(first), mergeAll(second));
        }),
        { seed: SEED, numRuns: 500 },
    );
});

/** Returns the members of a roster with both instances after the updates. */
function mergeAll(news: readonly Member[]): string[] {
    const roster = createRoster("entry-9/gateway");
    for (const instance of ["entry-1", "entry-2"]) {
        roster.merge({ ...emptyMember, instance });
    }
    news.forEach(member => roster.merge(member));
    return roster.entries().map(({ member }) => `${getMemberName(member)} ${member.incarnation} ${member.state}`);
}

const emptyMember: Member = {
    instance: "entry-1",
    role: "gateway",
    dataCentre: "levi",
    origin: "http://127.0.0.1:1",
    incarnation: 0,
    state: "alive",
    configurationRevision: 0,
};

function gatewayOf(world: FleetWorld, instance: number): FleetNode {
    const node = world.nodeFleet.nodes.find(candidate => candidate.name === `entry-${instance}/gateway`);
    assert.ok(node !== undefined);
    return node;
}

async function selectTarget(world: MembershipWorld, instance: number): Promise<void> {
    world.target = gatewayOf(world, instance);
    world.incarnation = (await world.nodeFleet.read(world.target)).self.incarnation;
}

/** Returns the states other than `alive` in which a process has seen another one, without repeats. */
async function readHistory(world: FleetWorld, node: FleetNode, target: FleetNode): Promise<string[]> {
    const { states } = await world.nodeFleet.read(node);
    return states.filter(({ name }) => name === target.name).map(({ state }) => state).filter(state =>
        state !== "alive"
    );
}
