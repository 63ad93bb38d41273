Feature: A takeover of a cell whose former owner answers its successor

    Background:
        Given an owner of 6 workers, of which the first 4 run a lasting task each

    Scenario: Nothing waits for a lost worker whose lease has lapsed according to the former owner
        When "worker-0" loses power, and the owner reaches its successors, but no worker and not the store
        And a successor takes over 6 s later, which reaches every worker
        Then every task is started again within 1 s of the takeover

    Scenario: The task of a worker that only the former owner reached waits until its lease has lapsed
        When the owner reaches its successors and every worker, but not the store
        And a successor takes over 2 s later, which reaches every worker but "worker-0"
        Then the task on "worker-0" is started elsewhere within 6 s of the takeover, after its run there has lapsed

    Scenario: A former owner that was itself waiting for a worker tells its successor for how long
        When the owner stops and says so, and a successor takes over, which reaches every worker but "worker-0"
        And a successor takes over 1 s later, which reaches every worker but "worker-0"
        Then the task on "worker-0" is started elsewhere within 6 s of the takeover, after its run there has lapsed

    Scenario: A former owner that does not answer is waited for although the one after it has answered
        When the owner reaches every worker, but neither its successors nor the store
        And a successor takes over 2 s later, which reaches every worker but "worker-0"
        And a successor takes over 1 s later, which reaches every worker but "worker-0"
        Then no task runs twice at the same time for 8 s
