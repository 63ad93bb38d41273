Feature: Tasks that crash the workers that start them

    Scenario: A task that crashes each worker is not started for ever, and the tasks beside it are completed
        Given the users' platform with 5 workers and 2 processes
        When a caller submits job "00000000000000b1" of 3 steps with 8 tasks of 700 ms each
        And another caller submits job "00000000000000b2" whose only task crashes its worker
        Then job "00000000000000b2" is shown as "failed" by every process
        And the task of job "00000000000000b2" was started at most 5 times
        And job "00000000000000b1" is shown as "completed" by every process

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
