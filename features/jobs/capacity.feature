Feature: Workers whose capacity shrinks and grows while they run

    Scenario: A worker that has shrunk gets no start that exceeds what is left, and is used in full once it has grown again
        Given the users' platform with 2 workers and 2 processes
        When a caller submits job "00000000000000f1" of 4 steps with 10 tasks of 900 ms each
        And the capacity of every worker shrinks to 3 cores
        Then job "00000000000000f1" is shown as "completed" by every process
        And no start brought a worker over its capacity
        When the capacity of every worker grows to 8 cores
        And a caller submits job "00000000000000f2" of 1 steps with 10 tasks of 1500 ms each
        Then job "00000000000000f2" is shown as "completed" by every process
        And all 10 tasks of job "00000000000000f2" ran at the same time

    Scenario: A worker that has shrunk below what runs on it keeps its tasks, and is chosen for nothing
        Given a worker of 8 cores that has shrunk to 2 with 4 in use, and another of 4 cores with 3 in use
        Then a task of 1 cores is placed on the other worker
        And a task of 2 cores is placed on neither

    Scenario: Capacity is reserved on a worker that is still large enough
        Given a worker of 8 cores that has shrunk to 5 with 1 in use, and another of 8 cores with 7 in use
        Then capacity for a task of 6 cores is reserved on the other worker
        And capacity for a task of 5 cores is reserved on the worker that has shrunk
