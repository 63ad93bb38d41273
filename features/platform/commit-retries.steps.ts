/**
 * Steps for commits that are lost, and cannot succeed when they are repeated.
 */
import { When } from "@cucumber/cucumber";
import { fail } from "../../src/core/errors.js";
import { commitRecord } from "../../src/platform/commit.js";
import type { Store } from "../../src/platform/store.js";
import { unwrap } from "./store.steps.js";
import type { StoreWorld } from "./store.steps.js";

When(
    /^a commit of "([^"]*)" under a lease (is lost|takes effect, its answer is lost), and the lease ends$/,
    async function(this: StoreWorld, key: string, fate: string) {
        const { leaseId } = unwrap(await this.store.grantLease(1));
        let isFirst = true;
        const losing: Store = {
            ...this.store,
            transact: async transaction => {
                if (!isFirst) {
                    return this.store.transact(transaction);
                }
                isFirst = false;
                if (fate !== "is lost") {
                    unwrap(await this.store.transact(transaction));
                }
                unwrap(await this.store.revokeLease(leaseId));
                return fail("ambiguous", "transact", "no answer");
            },
        };
        this.committed = await commitRecord(losing, {
            key,
            body: { count: 1 },
            expectedRevision: 0,
            alongside: [{ kind: "put", key: `owner of ${key}`, value: "x", leaseId }],
        });
    },
);

When("a commit of {string} is lost, and its repetition is refused", async function(this: StoreWorld, key: string) {
    let isFirst = true;
    const refusing: Store = {
        ...this.store,
        transact: async () => {
            const code = isFirst ? "ambiguous" : "refused";
            isFirst = false;
            return fail(code, "transact", "as the scenario says");
        },
    };
    this.committed = await commitRecord(refusing, { key, body: { count: 1 }, expectedRevision: 0 });
});
