/**
 * ROUTE: a worker comes back under its id as one of another kind, and gets tasks that require the label of its former life.
 */
import { expectThat, runCase } from "../support-2/case.js";
import { HOST, POOL } from "../support-2/deployment.js";

const OTHERS = 12;
const SPECIAL = ["special-0", "special-1", "special-2", "special-3", "special-4", "special-5"];
const DOWN_MILLISECONDS = 2_000;
const STAGGER_MILLISECONDS = 97;
const SPECIAL_LIFE = { labels: ["b", "r2"], millicores: 32_000 };
const OTHER_LIFE = { labels: ["a", "r2"], millicores: 32_000 };

await runCase({
    routes: [{
        name: "handover-check",
        host: HOST,
        prefix: "/handover/",
        service: POOL,
        priority: 0,
        maxAttempts: 3,
        stretchFactor: 1.5,
        targetLatencyMs: 250,
    }],
    async play({ addWorker, call, pause, startProcess, workers }, hasTrouble) {
        for (let index = 0; index < OTHERS; index++) {
            await addWorker(`worker-${index}`, { labels: ["a", "r1"], millicores: 32_000 });
        }
        for (const id of SPECIAL) {
            await addWorker(id, SPECIAL_LIFE);
        }
        const first = await startProcess("edge-1");
        const second = await startProcess("edge-2");
        await startProcess("edge-3");
        await pause(3_000);
        for (let index = 0; index < 12; index++) {
            const { status } = await call(
                index % 2 === 0 ? first : second,
                "POST",
                `/handover/4c9be3710d62f8a${index.toString(16)}`,
                {
                    spec: JSON.stringify({ milliseconds: 4_000 }),
                    steps: [{ count: 36, cpu: 3_100, memMb: 6_200, estimateMs: 4_000, requirements: "b" }],
                },
            );
            expectThat(status === 200, "a job is not accepted");
        }
        await pause(1_000);
        for (const [index, worker] of workers.filter(({ id }) => SPECIAL.includes(id)).entries()) {
            await worker.crash();
            // The times down differ, so that the lives begin at different times within the owner's polls of the store.
            await pause(DOWN_MILLISECONDS + index * STAGGER_MILLISECONDS);
            // Without the disruption, the worker comes back as the same kind.
            await worker.restart(hasTrouble ? OTHER_LIFE : SPECIAL_LIFE);
            await pause(2_000);
        }
        await pause(1_000);
        return workers.filter(({ id }) => SPECIAL.includes(id)).flatMap(worker => {
            const wrong = worker.runs.filter(({ labels }) => !labels.includes("b"));
            return wrong.length > 0
                ? [`${worker.id} has started ${wrong.length} tasks that require the label b as a worker without it`]
                : [];
        });
    },
});
