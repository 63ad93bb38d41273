Feature: Submitted jobs on the users' platform, with real processes

    Scenario: A job of two steps is accepted, runs in order, and is shown as completed
        Given the users' platform with 3 workers and 3 processes
        When a caller submits job "00000000000000a1" of 2 steps with 3 tasks of 100 ms each
        Then the caller is told status 200
        And job "00000000000000a1" is shown as "completed" by every process
        And no task of step 1 began before all tasks of step 0 had ended
        And each task of job "00000000000000a1" ran exactly once

    Scenario: The same job handed in again, at another process, stays one job
        Given the users' platform with 3 workers and 2 processes
        When a caller submits job "00000000000000a2" of 1 steps with 2 tasks of 100 ms each
        And the same job is handed in again at the other process
        Then job "00000000000000a2" is shown as "completed" by every process
        And each task of job "00000000000000a2" ran exactly once

    Scenario: What nobody submitted is not shown, and what no queue takes is not found
        Given the users' platform with 1 workers and 1 processes
        Then a caller who asks for "/checks/00000000000000ff" is told 410
        And a caller who asks for "/elsewhere/00000000000000ff" is told 404
        And a caller who submits a job whose step comes after itself is told 400

    Scenario: Workers are never given more than they hold
        Given the users' platform with 2 workers and 2 processes
        When a caller submits job "00000000000000a3" of 1 steps with 30 tasks of 60 ms each
        Then job "00000000000000a3" is shown as "completed" by every process
        And no worker ever held more than its cores

    Scenario: A cancelled job starts nothing any more
        Given the users' platform with 1 workers and 2 processes
        When a caller submits job "00000000000000a4" of 1 steps with 20 tasks of 300 ms each
        And the caller cancels job "00000000000000a4"
        Then job "00000000000000a4" is shown as "cancelled" by every process
        And nothing of job "00000000000000a4" runs or starts any more

    Scenario: All processes are killed in the middle of a job, and it is completed after their return
        Given the users' platform with 3 workers and 3 processes
        When a caller submits job "00000000000000a5" of 2 steps with 6 tasks of 400 ms each
        And all processes are killed and started again
        Then job "00000000000000a5" is shown as "completed" by every process
        And no task of job "00000000000000a5" ran again after its end was acknowledged
        And no task of job "00000000000000a5" ran twice at the same time

    Scenario: The owner is killed in the middle of a job, and another process goes on with it
        Given the users' platform with 3 workers and 3 processes
        When a caller submits job "00000000000000a6" of 2 steps with 6 tasks of 400 ms each
        And the owner of the cell is killed
        Then job "00000000000000a6" is shown as "completed" by the other processes
        And no task of job "00000000000000a6" ran again after its end was acknowledged
        And no task of job "00000000000000a6" ran twice at the same time

    Scenario: Lost answers of the store do not lose an accepted job, nor run a refused one
        Given the users' platform with 2 workers and 2 processes
        And the store carries out every third write without an answer
        When 10 jobs of 1 tasks of 50 ms are submitted
        Then every job that was accepted is completed, and no job that was refused ever ran

    Scenario: While the store is away a submission is refused soon, and taken once it is back
        Given the users' platform with 2 workers and 2 processes
        And the store refuses all calls
        When a caller submits job "00000000000000a7" of 1 steps with 1 tasks of 50 ms each
        Then the caller is told status 503, when to come back, and no later than 1500 ms
        And no task of job "00000000000000a7" ever ran
        When the store answers again
        And a caller submits job "00000000000000a7" until it is accepted
        Then job "00000000000000a7" is shown as "completed" by every process

    # Guards against tasks that run again because their ends were beyond the first 500 of a report.
    Scenario: Tasks whose ends exceed one report while the store is away do not run again
        Given the users' platform with 1 workers and 2 processes
        When a caller submits job "00000000000000aa" of 600 small tasks, and they end while the store does not answer
        And the store answers again
        Then job "00000000000000aa" is shown as "completed" by every process
        And every task of job "00000000000000aa" has run once

    # Guards against the same after a takeover, when the first report to a successor is cut short.
    Scenario: Tasks whose ends exceed the first report to a successor do not run again
        Given the users' platform with 1 workers and 2 processes
        When a caller submits job "00000000000000ab" of 600 small tasks, and they end while the store does not answer
        And the owner is killed, and the store answers its successor's claim, but nothing more for 1500 ms
        Then job "00000000000000ab" is shown as "completed" by every process
        And every task of job "00000000000000ab" has run once

    Scenario: Orders that a worker carries out late run nothing twice
        Given the users' platform with 2 workers and 1 processes
        And the workers carry out every fourth start late and unanswered
        When a caller submits job "00000000000000a8" of 1 steps with 12 tasks of 100 ms each
        Then job "00000000000000a8" is shown as "completed" by every process
        And no task of job "00000000000000a8" ran twice at the same time

    Scenario: A job whose tasks always fail is failed after the queue's attempts
        Given the users' platform with 3 workers and 1 processes
        When a caller submits job "00000000000000a9" whose only task always fails
        Then job "00000000000000a9" is shown as "failed" by every process
        And the task of job "00000000000000a9" was started 3 times

    Scenario: A worker's ends are asked for again only after they are committed
        Given the users' platform with 1 workers and 1 processes
        And the store takes 150 ms for a write
        When a caller submits job "00000000000000aa" of 1 steps with 20 tasks of 200 ms each
        Then job "00000000000000aa" is shown as "completed" by every process
        And the worker's reports told of ends at most 16 times

    Scenario: A new configuration is in force at every process, also after the store forgot its history
        Given the users' platform with 1 workers and 2 processes
        When the store forgets its history and a configuration without the queue follows
        Then every process soon answers 404 for "/checks/00000000000000ff"

    Scenario: A process that is told to stop answers what it has read, and ends by itself
        Given the users' platform with 2 workers and 2 processes
        When a caller submits job "00000000000000ab" of 1 steps with 4 tasks of 500 ms each
        And the owner of the cell is told to stop
        Then it ends by itself within the time for a stop
        And job "00000000000000ab" is shown as "completed" by the other processes
        And each task of job "00000000000000ab" ran exactly once

    Scenario: While the outcome of a commit is unknown, what is not part of it is refused soon
        Given the users' platform with 1 workers and 2 processes
        And the store loses the answer of the next write, and then refuses all calls
        When 6 jobs are submitted 300 ms apart, without waiting for the answers
        Then all but the first are told status 503 within 1500 ms
        And no job that was refused ever runs after the store has come back

    Scenario: An owner that is told to stop while the store is away ends within the time for a stop
        Given the users' platform with 1 workers and 2 processes
        And the store answers nothing any more
        When the owner of the cell is told to stop at once
        Then it ends by itself within the time for a stop

    Scenario: An owner cut off from the store alone tells its successor when the leases of a lost worker lapse
        Given the users' platform with 3 workers and 3 processes
        When a caller submits job "00000000000000ac" of one lasting task
        And the worker that runs it is gone for good, and the store answers the owner nothing any more
        Then another process takes the cell over and starts the task again before the former owner's horizon is over
        And the former owner still runs, and is still cut off
        And no task of job "00000000000000ac" ran twice at the same time
