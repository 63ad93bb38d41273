Feature: Data centres that the operators close

    # Workload: an operator empties one of three data centres while callers submit hundreds of tasks a second. Guards against a start
    # in a closed data centre (EVAC), by each way a start can come late, and against callers who wait for room that is there.

    Scenario: Nothing starts in a closed data centre, and all tasks start in the others
        Given an owner with 3 workers each in "levi" and "akas"
        When "levi" is closed
        And 20 tasks are submitted
        Then 20 tasks start, none of them in "levi"

    Scenario: A closure by which no worker is met changes nothing, and is logged
        Given an owner with 3 workers each in "levi" and "akas"
        When "nowhere" is closed
        And 20 tasks are submitted
        Then 20 tasks start, some of them in "levi"
        And the owner has logged "closure-without-workers" for "nowhere"

    Scenario: While all data centres are closed tasks wait, and they start at once when one is reopened
        Given an owner with 3 workers each in "levi" and "akas"
        When "levi" is closed
        And "akas" is closed
        And 20 tasks are submitted
        And 400 ms pass
        Then no task has started
        When "akas" is reopened
        Then 20 tasks start, none of them in "levi"

    Scenario: A closure that is taken back within a second leaves nothing behind
        Given an owner with 3 workers each in "levi" and "akas"
        When "levi" is closed
        And 300 ms pass
        And "levi" is reopened
        And 20 tasks are submitted
        Then 20 tasks start, some of them in "levi"
        And the owner has logged "closure-over" for "levi"

    Scenario: Two closures that overlap end each by itself
        Given an owner with 3 workers each in "levi" and "akas"
        When "levi" is closed
        And "akas" is closed
        And "levi" is reopened
        And 20 tasks are submitted
        Then 20 tasks start, none of them in "akas"

    # A start may wait for a connection, or for the answer to the order before it, beyond the time that the operators allow.
    Scenario: A start that waits for a connection is not sent once its data centre is closed
        Given an owner with 3 workers each in "levi" and "akas"
        And orders wait for connections
        When 1 task is submitted
        And the data centre of the waiting order is closed
        Then the waiting order is not wanted any more

    Scenario: An unanswered start is not repeated once its data centre is closed, but stopped
        Given an owner with 3 workers each in "levi" and "akas"
        And orders get no answer
        When 1 task is submitted
        And the data centre of the waiting order is closed
        And the order is left without an answer, and its worker reports
        Then no second order is sent, and the attempt is to be stopped

    # A paused process does not hear of closures, nor of the time that passes.
    Scenario: An owner that was paused starts nothing before it has read the closures again
        Given an owner with 3 workers each in "levi" and "akas"
        And orders wait for connections
        And 1 task is submitted
        When the closures cannot be read
        And the owner is paused for 6,000 ms, while "levi" and "akas" are closed
        Then the waiting order is not wanted any more
        When orders are answered
        And 5 tasks are submitted
        And 400 ms pass
        Then no task has started

    Scenario: An owner that is cut off from the store starts nothing once its closures are too old, and goes on when they are read
        Given an owner with 3 workers each in "levi" and "akas"
        When the closures cannot be read
        And the time of the owner moves on by 3,000 ms
        And 5 tasks are submitted
        Then 5 tasks start, some of them in "levi"
        When the time of the owner moves on by 1,000 ms
        And 5 tasks are submitted
        And 400 ms pass
        Then no further task has started
        And the owner logs that starts are held
        When the closures can be read
        Then 5 tasks start, some of them in "levi"

    Scenario: An owner without a closure limit heeds no closures and reads none
        Given an owner without a closure limit, with 3 workers each in "levi" and "akas"
        When "levi" is closed
        And 20 tasks are submitted
        Then 20 tasks start, some of them in "levi"
        And the closures have not been read

    Scenario: A successor that takes over while all is closed starts nothing, and goes on once it is reopened
        Given a cell whose owner runs 2 lasting tasks on 3 workers
        When all data centres are closed, a task fails, and a successor takes over
        Then nothing starts for 4 s
        When all data centres are reopened
        Then the failed task starts

    Scenario: A successor that has not read the closures yet starts nothing
        Given a cell whose owner runs 2 lasting tasks on 3 workers
        When the closures cannot be read by a successor, a task fails, and it takes over
        Then nothing starts for 4 s
        When the successor reads the closures
        Then the failed task starts

    # Workload: steps of 14 lasting tasks that serve users. A move costs these users the time until the task is at work again.
    Scenario: What runs in a closed data centre goes on there, also where another worker has room
        Given an owner with 3 workers each in "levi" and "akas"
        And a lasting task and a short one that run in "levi"
        When "levi" is closed
        And 500 ms pass
        Then nothing is to be stopped

    Scenario: A cold worker is used where no other has room
        Given a cold worker and a warm one, with room for one task each
        Then the first task goes to the warm worker, and the second to the cold one

    Scenario: Closures are read from the operators' store, also where the value cannot be read
        Given the operators' store, and an instance that watches its closures
        When the operators close "levi" and write what cannot be read for "akas"
        Then the instance knows "levi, akas" to be closed
        When the operators reopen "levi"
        Then the instance knows "akas" to be closed

    Scenario: A closure whose record goes while the store forgets its history is over
        Given the operators' store, and an instance that watches its closures
        When the operators close "levi" and write what cannot be read for "akas"
        Then the instance knows "levi, akas" to be closed
        When the store is away, and "levi" is reopened while it forgets its history
        Then the instance knows "levi, akas" to be closed
        When the operators' store is back
        Then the instance knows "akas" to be closed

    Scenario: Closures are confirmed up to the moment at which an answered read was sent
        Given the operators' store, and an instance that watches its closures
        When a read of the closures is sent, and answered 200 ms later
        Then the closures are confirmed up to its sending
        When the store is away, and a read is sent
        Then the closures are confirmed up to the sending of the first read
