/**
 * Steps for faults of the store and the workers on the stand-in of the users' platform.
 */
import { Given } from "@cucumber/cucumber";
import type { PathWorld } from "./world.js";

Given("the store carries out every third write without an answer", function(this: PathWorld) {
    let writes = 0;
    this.usersPlatform.store.fault = path => path === "/kv-txn" && ++writes % 3 === 0 ? "answer-lost" : "none";
});

Given("the store refuses all calls", function(this: PathWorld) {
    this.usersPlatform.store.fault = () => "refused";
});

Given("the store answers nothing any more", function(this: PathWorld) {
    this.usersPlatform.store.fault = () => "silent";
});

Given("the store takes {int} ms for a write", function(this: PathWorld, milliseconds: number) {
    this.usersPlatform.store.delay = path => path === "/kv-txn" ? milliseconds : 0;
});

Given("the workers carry out every fourth start late and unanswered", function(this: PathWorld) {
    let starts = 0;
    for (const worker of this.usersPlatform.workers) {
        worker.fault = path => path === "/run-start" && ++starts % 4 === 0 ? "late" : "none";
    }
});

Given("the store loses the answer of the next write, and then refuses all calls", function(this: PathWorld) {
    let isLost = false;
    this.usersPlatform.store.fault = path => {
        if (isLost) {
            return "refused";
        }
        isLost = path === "/kv-txn";
        return isLost ? "answer-lost" : "none";
    };
});
