Feature: Tasks that crash the workers that start them

    Scenario: A task that crashes each worker is not started for ever, and the tasks beside it are completed
        Given the users' platform with 5 workers and 2 processes
        When a caller submits job "00000000000000b1" of 3 steps with 8 tasks of 700 ms each
        And another caller submits job "00000000000000b2" whose only task crashes its worker
        Then job "00000000000000b2" is shown as "failed" by every process
        And the task of job "00000000000000b2" was started at most 5 times
        And job "00000000000000b1" is shown as "completed" by every process

    # Guards against deadly tasks that hide one another: the tasks of a step start together, and crash many workers at once.
    Scenario: Tasks that crash many workers at once are given up, and the tasks beside them are completed
        Given the users' platform with 14 workers and 2 processes
        When a caller submits job "00000000000000b5" of 1 steps with 14 tasks of 1500 ms each
        And a caller submits job "00000000000000b6" with 12 tasks apart that all crash their workers
        Then job "00000000000000b6" is shown as "failed" by every process
        And each task of job "00000000000000b6" was started at most 5 times
        And job "00000000000000b5" is shown as "completed" by every process

    # Guards against rounds of crashes that are forgotten with the owner that saw them.
    Scenario: Rounds of many crashes before a takeover count after it
        Given the users' platform with 8 workers and 3 processes
        When a caller submits job "00000000000000b7" with 6 tasks apart that all crash their workers
        And the owner of the cell is killed once 6 workers have crashed
        Then job "00000000000000b7" is shown as "failed" by the other processes
        And each task of job "00000000000000b7" was started at most 5 times

    Scenario: Crashes that were counted before a takeover count after it
        Given the users' platform with 5 workers and 3 processes
        When a caller submits job "00000000000000b3" whose only task crashes its worker
        And the owner of the cell is killed once 2 workers have crashed
        Then job "00000000000000b3" is shown as "failed" by the other processes
        And the task of job "00000000000000b3" was started at most 5 times

    Scenario: Crashes that were counted before a loss of power count after it
        Given the users' platform with 5 workers and 2 processes
        When a caller submits job "00000000000000b4" whose only task crashes its worker
        And all processes are killed and started again once 2 workers have crashed
        Then job "00000000000000b4" is shown as "failed" by every process
        And the task of job "00000000000000b4" was started at most 5 times

    Scenario Outline: Only the loss of a worker's process is put down to a task
        Given a worker that has started task "a" 50 ms before its reports fail
        When a report fails with <failure>, and the worker <state>
        Then task "a" is suspected of <crashes> crashes

        Examples:
            | failure              | state           | crashes |
            | a refused connection | is in service   | 1       |
            | another incarnation  | is in service   | 1       |
            | no answer in time    | is in service   | 0       |
            | an overload          | is in service   | 0       |
            | a refused connection | is draining     | 0       |

    Scenario: Workers that crash together put no task under suspicion
        Given 4 workers that have started a task each 50 ms before their reports fail
        When the reports of all of them fail with a refused connection at the same time
        Then no task is suspected

    Scenario Outline: Rounds of crashes of many workers add up
        Given <jobs> jobs of <tasks> tasks each, which crash the worker that starts them
        When all of them are started in rounds, each on a worker of its own, and <others> other workers crash in the first <together> rounds
        Then each job is given up after <rounds> rounds

        Examples:
            | jobs | tasks | others | together | rounds |
            | 1    | 4     | 0      | 0        | 3      |
            | 1    | 12    | 0      | 0        | 3      |
            | 1    | 20    | 0      | 0        | 3      |
            | 3    | 6     | 0      | 0        | 3      |
            | 1    | 12    | 12     | 1        | 3      |
            | 1    | 12    | 12     | 3        | 4      |
            | 1    | 12    | 12     | 9        | 5      |

    # Guards against innocent jobs that are given up, because their workers lose power together again and again.
    Scenario: Tasks whose workers are lost with many others are not given up
        Given 1 jobs of 12 tasks each, which crash the worker that starts them
        When all of them are started in rounds, each on a worker of its own, and 12 other workers crash in the first 4 rounds
        Then no job is given up after 4 rounds

    # Guards against bystanders that are blamed: they are started again with the deadly tasks, on the same workers.
    Scenario: A suspect that has survived its trial is not blamed for the trial of another
        Given a worker that has started task "bystander" 400 ms before its reports fail, under which another worker has crashed
        And it has started task "deadly" 20 ms before, under which another worker has crashed
        When a report fails with a refused connection, and the worker is in service
        Then task "deadly" is suspected of 2 crashes
        And task "bystander" is suspected of 1 crashes

    Scenario: A crash is put down to the tasks that were started shortly before it
        Given a worker that has started task "old" 5000 ms before its reports fail
        And it has started task "new" 50 ms before
        When a report fails with a refused connection, and the worker is in service
        Then task "new" is suspected of 1 crashes
        And task "old" is suspected of 0 crashes

    Scenario: A task that is suspected already takes the blame alone
        Given a worker that has started task "innocent" 50 ms before its reports fail
        And it has started task "suspect" 100 ms before, under which another worker has crashed
        When a report fails with a refused connection, and the worker is in service
        Then task "suspect" is suspected of 2 crashes
        And task "innocent" is suspected of 0 crashes

    Scenario: A suspect starts by itself on the worker with the fewest tasks
        Given two workers, one with 3 tasks, and a task under which a worker has crashed
        Then the task is placed on the worker without tasks
        And no other task is placed beside it for 250 ms
        And another task is placed beside it after 350 ms

    Scenario: A copy of a suspect is not started
        Given two workers, one with 3 tasks, and a task under which a worker has crashed
        Then no copy of it is wanted though its worker is silent

    Scenario: A suspect among the other tasks of its step is placed by a search of its own
        Given a step of 3 tasks, and a worker has crashed under the second of them
        Then the workers rank alike for the first and the third, but not for the second
