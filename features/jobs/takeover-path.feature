Feature: Takeovers with real processes, as workers and callers see them

    Background:
        Given the users' platform with 6 workers and 4 processes

    Scenario: An owner that was paused for seconds starts nothing that its successor has taken over
        Given a lasting job of 4 tasks runs
        When the owner is paused
        And a worker that runs a task is lost for good
        And the owner goes on 6 s after it was paused
        Then the former owner stops owning the cell
        And every lasting task runs again
        And no task of a worker that stayed up was started again
        And no task ran twice at the same time or after its end was acknowledged

    Scenario: Tasks of a worker that was only silent, and whose starts the paused owner never saw confirmed, go on
        When the owner is paused as soon as 2 starts of a lasting job of 4 tasks have reached workers
        And the worker that got the latest start is silent for 3 s
        Then every lasting task runs again
        When the owner goes on 6 s after it was paused
        Then the former owner stops owning the cell
        And every lasting task runs again
        And no task of a worker that stayed up was started again
        And no task ran twice at the same time or after its end was acknowledged

    Scenario: While the store ignores the owner alone, jobs are accepted again, and none is lost or runs twice
        Given a lasting job of 4 tasks runs
        And callers submit jobs at all processes
        When the store ignores the owner for 5 s
        Then the former owner stops owning the cell
        And jobs were accepted at each other process while the owner was cut off
        When the callers have had jobs accepted at all processes, and stop
        Then every job that was accepted is completed, and no job that was refused ever ran
        And every lasting task runs again
        And no task of a worker that stayed up was started again
        And no task ran twice at the same time or after its end was acknowledged

    Scenario: While the store refuses the owner alone, jobs are accepted again, and none is lost or runs twice
        Given a lasting job of 4 tasks runs
        And callers submit jobs at all processes
        When the store refuses the owner for 5 s
        Then the former owner stops owning the cell
        And jobs were accepted at each other process while the owner was cut off
        When the callers have had jobs accepted at all processes, and stop
        Then every job that was accepted is completed, and no job that was refused ever ran
        And every lasting task runs again
        And no task of a worker that stayed up was started again
        And no task ran twice at the same time or after its end was acknowledged

    Scenario: While the owner is paused, jobs are accepted again, and none is lost or runs twice when it goes on
        Given a lasting job of 4 tasks runs
        And callers submit jobs at all processes
        When the owner is paused
        And the owner goes on 6 s after it was paused
        Then the former owner stops owning the cell
        And jobs were accepted at each other process while the owner was cut off
        When the callers have had jobs accepted at all processes, and stop
        Then every job that was accepted is completed, and no job that was refused ever ran
        And every lasting task runs again
        And no task of a worker that stayed up was started again
        And no task ran twice at the same time or after its end was acknowledged

    Scenario: A worker's tasks run again after the owner was cut off from the store and killed before a takeover
        Given a lasting job of 4 tasks runs
        When a worker that runs a task is lost for good
        And the store ignores the owner
        And the owner is killed at once
        Then every lasting task runs again
        And no task of a worker that stayed up was started again
        And no task ran twice at the same time or after its end was acknowledged

    Scenario: A worker's tasks run again after the owner was cut off from the store, taken over from and killed
        Given a lasting job of 4 tasks runs
        When a worker that runs a task is lost for good
        And the store ignores the owner
        And another process owns the cell
        And the owner is killed at once
        Then every lasting task runs again
        And no task of a worker that stayed up was started again
        And no task ran twice at the same time or after its end was acknowledged

    Scenario: After two takeovers in a row, of a paused owner and of its killed successor, no task is lost or runs twice
        Given a lasting job of 4 tasks runs
        When the owner is paused
        And a worker that runs a task is lost for good
        And another process owns the cell, and is killed 1 s later
        Then every lasting task runs again
        When the owner goes on 6 s after it was paused
        Then the former owner stops owning the cell
        And every lasting task runs again
        And no task of a worker that stayed up was started again
        And no task ran twice at the same time or after its end was acknowledged

    Scenario: The tasks of a worker that starts again as the last one awaited do not wait for the former owner
        Given a lasting job of 4 tasks runs
        When the owner is paused
        And a worker that runs a task is lost for good
        And another process owns the cell
        And the lost worker starts again under its id
        Then every lasting task runs again
        And the recovery has ended because every worker has answered
        When the owner goes on 6 s after it was paused
        Then the former owner stops owning the cell
        And every lasting task runs again
        And no task of a worker that stayed up was started again
        And no task ran twice at the same time or after its end was acknowledged

    Scenario: The owner keeps the cell when most other processes are killed at once, though the store lists them for a while
        Given a lasting job of 4 tasks runs
        When all other processes but one are killed
        Then the owner keeps the cell until it has seen the records of the killed ones lapse
        And no task of a worker that stayed up was started again
        And no task ran twice at the same time or after its end was acknowledged

    Scenario: A successor keeps the cell when most processes are killed together with the owner
        Given a lasting job of 4 tasks runs
        When a worker that runs a task is lost for good
        And the owner is killed together with all other processes but two
        And another process owns the cell
        Then the successor keeps the cell until it has seen the records of the killed ones lapse
        And every lasting task runs again
        And no task of a worker that stayed up was started again
        And no task ran twice at the same time or after its end was acknowledged

    Scenario: A start that is repeated at a worker that has started again does not run beside the next start of its task
        When a worker loses power as the first start reaches it, starts again, and refuses the start once
        And a lasting job of 4 tasks runs
        Then the start has been repeated, and a later job is completed
        And every lasting task runs again
        And no task ran twice at the same time or after its end was acknowledged

    Scenario: An end on a worker that has started again is not acknowledged with a number of its former life
        Given a job of 30 tasks that fill all workers is completed
        When a worker loses power as the first start reaches it, and starts again
        And a caller submits job "00000000000000b1" of 1 steps with 1 tasks of 20 ms each
        Then job "00000000000000b1" is shown as "completed" by every process
        And the start has been repeated, and a later job is completed
        And no task ran twice at the same time or after its end was acknowledged

    Scenario: A task that a repeated start runs on a worker with a new clock does not run elsewhere until its lease is over
        Given a job of 30 tasks that fill all workers is completed
        When a worker loses power as the first start reaches it, starts again, and is silent for 8 s from the next start on
        And a lasting job of 4 tasks runs
        And the silence is over
        Then the start has been repeated, and a later job is completed
        And every lasting task runs again
        And no task ran twice at the same time or after its end was acknowledged

    # Guards against a successor that counts its own leases alone: a hold to the former life has given the new one the longest lease.
    Scenario Outline: A task on a worker that has started again, and is cut off <when>, does not run elsewhere too early
        Given the workers have been up for 12 s
        When a hold reaches a worker late, after it has started again
        And a lasting job of 1 tasks runs on that worker
        And the owner is killed, and the worker is cut off <when> for 14 s
        Then every lasting task runs again
        When the silence is over
        Then every lasting task runs again
        And no task ran twice at the same time or after its end was acknowledged

        Examples:
            | when                                 |
            | before its successor has reached it  |
            | after its successor has reached it   |

    Scenario Outline: Nothing is lost or runs twice while faults of several machines overlap, drawn from seed <seed>
        Given a lasting job of 4 tasks runs
        And callers submit jobs at all processes
        When faults of processes and workers overlap for 20 s, drawn from seed <seed>
        And the callers have had jobs accepted at all processes, and stop
        Then every job that was accepted is completed, and no job that was refused ever ran
        And every lasting task runs again
        And no task ran twice at the same time or after its end was acknowledged

        Examples:
            | seed |
            | 1    |
            | 2    |
            | 3    |
