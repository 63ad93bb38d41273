Feature: How long a task whose turn has come waits for workers, and for who owns the cell

    # Guards against a second start after an end that is acknowledged later (TWICE).
    Scenario: A worker that has still to list ends is not given up over a silence that its lease outlasts
        Given an owner of 3 workers, of which the first 2 run a task each
        When the owner loses power, and "worker-0" finishes its task and lists no ends
        And a successor takes over 1 s later, and is answered for 7 s
        And "worker-0" is silent for 3 s, and then lists its ends
        Then no task that was finished is started again within 4 s

    Scenario: A worker that falls silent before it has listed its ends is given up once its lease has lapsed
        Given an owner of 3 workers, of which the first 2 run a task each
        When the owner loses power, and "worker-0" finishes its task and lists no ends
        And a successor takes over 1 s later, and is answered for 7 s
        And "worker-0" is silent from now on
        Then the task that was finished unseen is started again within 8 s, after the lease of "worker-0"

    # One worker that answers and never lists its ends would otherwise keep all inherited tasks from starting.
    Scenario: A worker that answers and never lists its ends is given up once its lease was withheld and has lapsed
        Given an owner of 3 workers, of which the first 2 run a task each
        When the owner loses power, and "worker-0" finishes its task and lists no ends
        And a successor takes over 1 s later, and is answered for 5 s
        Then the task that was finished unseen is started again within 9 s, after a lease of "worker-0"
        And leases are granted to "worker-0" again within 1 s
        And the task of "worker-1" has run on

    # Guards against a task of the present owner that waits without end for the end of its attempt to be listed (LOST).
    Scenario: A task whose worker answers and never lists its end is started again after 12 s
        Given an owner of 3 workers, of which the first 2 run a task each
        When "worker-0" finishes its task and lists no ends from then on
        Then the task that was finished unseen is started again between 12 s and 15 s later
        And the task of "worker-1" has run on

    # Guards against a second start after an end that is acknowledged later (TWICE).
    Scenario: A task whose worker lists its end late is not started again
        Given an owner of 3 workers, of which the first 2 run a task each
        When "worker-0" finishes its task and lists no ends from then on
        And "worker-0" lists its ends 11 s later
        Then no task that was finished is started again within 4 s

    # A run of no job that no stop ends would otherwise keep its worker from all starts, under leases that its owner renews.
    Scenario: A worker whose foreign run no stop ends gets starts again once its lease was withheld and has lapsed
        Given an owner of 2 workers, of which the first 2 run a task each
        When a run of no job that no stop ends is on "worker-1", and the task there fails
        Then the failed task is started again within 20 s, after the end of the foreign run

    Scenario Outline: A worker whose entry was removed and written again while the watch <gap> is listed again
        Given an owner's list of one worker
        When its entry is removed, and written again while the watch <gap>
        Then the worker is listed again

        Examples:
            | gap                   |
            | is broken             |
            | has lost its history  |

    Scenario: No quarantine lasts longer than 12 s, however many came before
        Then a worker that fails again after each quarantine is never kept from starts for more than 12000 ms at a time

    Scenario: A new life of a worker is kept from starts by its former life for 1.5 s at most
        Given a worker in quarantine for 12000 ms, which has listed a foreign run
        When a new life of it reports
        Then it is in no quarantine, and gets starts after 1500 ms at the latest

    Scenario: An owner that neither the store nor most workers answer gives orders again after one commit
        Given an owner of 3 workers, of which the first 2 run a task each
        When it reaches only "worker-2", and not the store, for 15 s, and then the store again
        Then the tasks that were lost are started on "worker-2" within 1 s
