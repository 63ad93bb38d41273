Feature: Failing workers are told from failing jobs

    Scenario: A worker that fails what others finish is quarantined
        Given a cell of 10 workers that finish 3 rules
        When "worker-3" fails 4 tasks of each rule
        Then "worker-3" is quarantined
        And no new task goes to "worker-3"

    Scenario: A job that fails everywhere is blamed on no worker
        Given a cell of 10 workers that finish 3 rules
        When a rule "broken-job" fails 3 times on each worker
        Then no worker is quarantined

    Scenario: A job that has only run on one worker is not enough against it
        Given a cell of 10 workers that finish 3 rules
        When a rule "broken-job" fails 20 times on "worker-3"
        Then no worker is quarantined

    Scenario: A wave of lapsed leases blames nobody
        Given a cell of 10 workers that finish 3 rules
        When every attempt on every worker lapses
        Then no worker is quarantined

    Scenario: Never more than the set share of a cell
        Given a cell of 10 workers that finish 3 rules
        When 5 workers fail 6 tasks of each rule
        Then at most 2 of 10 workers are quarantined, and at least 1

    Scenario: Quarantine holds its share in arbitrary histories
        Then at most a fifth of the workers is in quarantine in 100 arbitrary histories of ends

    Scenario: Probation gives one batch task at a time, and three that finish release the worker
        Given a cell of 10 workers that finish 3 rules
        And "worker-3" fails 4 tasks of each rule
        And "worker-3" is quarantined
        When its quarantine has passed
        Then only "worker-3" is offered with 5 batch tasks and a replica, and gets 1 batch task
        When 3 trials on "worker-3" finish
        Then "worker-3" is released

    Scenario: A failed trial sends the worker back
        Given a cell of 10 workers that finish 3 rules
        And "worker-3" fails 4 tasks of each rule
        And "worker-3" is quarantined
        When its quarantine has passed
        And a trial on "worker-3" fails
        Then no new task goes to "worker-3"

    Scenario: A task is not tried again where it failed
        Given a cell of 10 workers that finish 3 rules
        Then a task that failed on a worker is placed on another one
