Feature: Lines that tell why a task whose turn has come is not started

    Background:
        Given a cell of 2 workers of 8 cores, whose lines on waiting work are read

    Scenario Outline: A line names what holds a task where <condition>
        When <task> is ready, and <condition>
        And 2000 ms pass with a look at what waits each second
        Then one line on it says "<reason>", decided by "<part>", held and waited for 2000 ms
        And the line has <details>
        And the tasks of its step are counted as waiting for "<reason>"

        Examples:
            | task                       | condition                                            | reason               | part               | details                                                             |
            | a task                     | the owner may not send orders                        | orders-suspended     | authority          | {"workersInUse":2,"answeringWorkers":0}                             |
            | a task                     | the closed data centres are not confirmed            | closures-unconfirmed | closures           | {}                                                                  |
            | a task of an earlier owner | a worker has not answered since the takeover         | unanswered-worker    | recovery           | {"unansweredWorkers":1,"workers":["worker-gone"]}                   |
            | a task                     | it is suspected of a crash that has not been reviewed | crash-review        | crash-review       | {}                                                                  |
            | a task                     | the configuration has no queue of its name           | no-queue             | catalog            | {}                                                                  |
            | a task                     | the pool has no workers                              | no-workers           | worker-list        | {"pool":"desk","obstacles":{}}                                      |
            | a task                     | the workers are silent                               | worker-silent        | worker-sessions    | {"obstacles":{"worker-silent":2}}                                   |
            | a task                     | the workers have not been heard of                   | worker-unheard       | worker-sessions    | {"obstacles":{"worker-unheard":2}}                                  |
            | a task                     | the reports of the workers fail                      | reports-failing      | worker-sessions    | {"obstacles":{"reports-failing":2}}                                 |
            | a task                     | the ledger does not list the workers                 | worker-unrecorded    | commits            | {"obstacles":{"worker-unrecorded":2}}                               |
            | a task                     | the workers have left the list                       | worker-unlisted      | worker-list        | {"obstacles":{"worker-unlisted":2}}                                 |
            | a task                     | the workers drain                                    | worker-draining      | worker-list        | {"obstacles":{"worker-draining":2}}                                 |
            | a task                     | the workers take starts only later                   | starts-refused       | worker-sessions    | {"obstacles":{"starts-refused":2}}                                  |
            | a task                     | the workers are in quarantine                        | worker-quarantined   | worker-health      | {"obstacles":{"worker-quarantined":2}}                              |
            | a task                     | the data centre of the workers is closed             | data-centre-closed   | closures           | {"obstacles":{"data-centre-closed":2}}                              |
            | a task                     | the latest pass started as many as it may            | start-limit          | dispatcher         | {"suitableWorkers":2,"tasksBefore":0,"startsInFlight":3,"oldestStartMilliseconds":700} |
            | a task with a label        | no worker has that                                   | label-missing        | placement          | {"obstacles":{"label-missing":2}}                                   |
            | a task with a label        | one worker has that, and is full                     | no-room              | placement          | {"obstacles":{"label-missing":1,"no-room":1}}                       |
            | a task of 9 cores          | no worker is that large                              | never-fits           | placement          | {"obstacles":{"never-fits":2}}                                      |
            | a task                     | other tasks use all cores                            | no-room              | placement          | {"obstacles":{"no-room":2}}                                         |
            | a third task of its step   | each worker may run one of them                      | limit-per-worker     | placement          | {"obstacles":{"limit-per-worker":2}}                                |
            | a gang of 3 of 6 cores     | each worker has room for one                         | gang-room            | placement          | {"suitableWorkers":2}                                               |
            | a task of 4 cores          | room is kept for a lasting task                      | reserved-for-overdue | placement          | {"obstacles":{"reserved-for-overdue":1,"no-room":1},"reservedFor":["00000000000000c2.0.0.0"]} |
            | a filler of 4 cores        | other fillers use the idle cores                     | too-few-idle-cores   | placement          | {"obstacles":{"too-few-idle-cores":2}}                              |
            | a filler of 4 cores        | its effect on serving tasks is being measured        | interference         | interference-model | {"obstacles":{"interference":2}}                                    |
            | a lasting task             | it gave way a moment ago, and room is scarce         | giving-way-pause     | preemption         | {}                                                                  |
            | a task | a suspect of a crash was ordered to each worker a moment ago | beside-suspect | crash-review | {"obstacles":{"beside-suspect":2}} |
            | a suspect of a crash | tasks were ordered to each worker a moment ago | suspect-needs-quiet | crash-review | {"obstacles":{"suspect-needs-quiet":2}} |

    Scenario: Each look at the workers agrees with what a pass decides
        When tasks of different kinds are ready at workers that run others
        Then a pass starts a task exactly where a look tells of a worker that suits

    Scenario Outline: Room that is kept ahead is told of with the task it is kept for, where it binds
        When all room is kept for another task that gets it in 1000 ms, and a task of <milliseconds> ms becomes ready
        Then a look at the workers says "<reason>", and names <tasks> tasks that room is kept for

        Examples:
            | milliseconds | reason         | tasks |
            | 3000         | reserved-ahead | 1     |
            | 100          | worker-suits   | 0     |

    Scenario: A changed reason gives a new line, and counts from the change
        When a task is ready, and the owner may not send orders
        And 3000 ms pass with a look at what waits each second
        And other tasks use all cores
        And the suspension of orders ends
        And 1000 ms pass with a look at what waits each second
        Then the lines on it say
            | waited | held | reason           |
            | 2000   | 2000 | orders-suspended |
            | 4000   | 0    | no-room          |
        And a trace of the job shows 2 of them

    Scenario: A line comes again while the reason stays, and none after the start
        When a task is ready, and other tasks use all cores
        And 13000 ms pass with a look at what waits each second
        And the other tasks end
        And 20000 ms pass with a look at what waits each second
        Then the lines on it say
            | waited | held  | reason  |
            | 2000   | 2000  | no-room |
            | 7000   | 7000  | no-room |
            | 12000  | 12000 | no-room |

    Scenario: A task that starts within two seconds gives no line
        When a task is ready, and other tasks use all cores
        And 1000 ms pass with a look at what waits each second
        And the other tasks end
        And 5000 ms pass with a look at what waits each second
        Then there is no line

    Scenario: Many waiting steps give few lines, and each of them has its own in turn
        When 1000 jobs of 3 tasks are ready, and other tasks use all cores
        And 102000 ms pass with a look at what waits each second
        Then no look has written more than 10 lines
        And each of the 1000 jobs has a line, which tells of 3 tasks
        And 3000 tasks are counted as waiting for "no-room"

    Scenario: Many steps of different kinds are counted by what stands against them, not as unexplained until their lines
        When 1000 jobs of 140 kinds are ready, and other tasks use all cores
        And 3000 ms pass with a look at what waits each second
        Then 1000 tasks are counted as waiting for "no-room"
        And no look has written more than 10 lines

    Scenario: The count of many steps follows a changed reason within two seconds
        When 1000 jobs of 140 kinds are ready, and other tasks use all cores
        And 5000 ms pass with a look at what waits each second
        And the workers fall silent
        And 2000 ms pass with a look at what waits each second
        Then 1000 tasks are counted as waiting for "worker-silent"

    Scenario: Steps whose kinds change from check to check are looked at in turn
        When 1000 jobs of 1000 kinds are ready, and other tasks use all cores
        And 5000 ms pass with a look at what waits each second
        And the workers fall silent
        And 6000 ms pass with a look each second, while all jobs become of other kinds
        Then 1000 tasks are counted as waiting for "worker-silent"

    Scenario: Tasks that share a look at the workers would each find the same by one of their own
        When tasks of different kinds are ready at workers that run others, and room is kept on one of them
        Then looks for each task find the same for all tasks of a kind, which are fewer

    Scenario: Tasks that come after others are told apart from those that only the limit of starts holds
        When 10 tasks are ready one after the other, and passes start none because of their limit
        And 3000 ms pass with a look at what waits each second
        Then 2 tasks are counted as waiting for "start-limit", and 8 for "turn"
        And the lines tell for each task how many come before it
        And all of them tell of 3 starts without an answer, the oldest for 700 ms

    Scenario: A pass that ends at its limit tells which tasks it has not come to, in their order
        When a pass may start 2 of 3 jobs of 2 tasks, and a task that fits nowhere comes first
        Then it has left out the tasks of the last 2 jobs, oldest first, and no others

    Scenario: An attempt whose start is in doubt is told of with its worker
        When a task is ready, and its start has been left unanswered by a worker that is silent now
        And 5000 ms pass with a look at what waits each second
        Then one line on it says "attempt-unconfirmed", decided by "attempts", held and waited for 2000 ms
        And the line has {"attempt":1,"phase":"ordered","worker":"worker-0","contact":"silent","lapsesInMilliseconds":2592}

    Scenario: A job that waits for memory is told of
        When a job of an earlier owner waits for memory
        And 2000 ms pass with a look at what waits each second
        Then one line on it says "memory", decided by "memory-limit", held and waited for 2000 ms
        And the line has {"deferredJobs":1,"heldBytesLimit":1000}

    Scenario: The owner of a cell writes the lines and counts what waits in its load
        Given a cell of 2 workers with a job of 3 tasks, of which a worker may run one
        When an owner has had it for 8 simulated seconds
        Then it has written a line on the third task that says "limit-per-worker"
        And its load counts 1 task that waits for "limit-per-worker"
