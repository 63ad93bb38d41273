Feature: A takeover of a cell whose former owner cannot be asked

    Background:
        Given an owner of 6 workers, of which the first 4 run a lasting task each

    Scenario: Tasks of workers that are lost together with the owner run again within 10 s
        When the owner and "worker-0" lose power, and a successor takes over 2 s later
        Then every task runs again within 10 s of the loss

    Scenario: A task that the successor has seen running does not wait for other workers when it fails
        When the owner and "worker-0" lose power, and a successor takes over 2 s later
        And the task on "worker-1" fails 1 s after the takeover
        Then that task runs again within 1 s

    Scenario: A former owner that neither the store nor most workers answer starts no task a second time
        When the owner reaches only "worker-4, worker-5", and not the store
        And a successor takes over 2 s later, which reaches only "worker-0, worker-1, worker-2, worker-3"
        Then no task runs twice at the same time for 14 s

    Scenario: A worker that answers a successor only once is not given up before its former lease has lapsed
        When the owner loses power, and a successor after a claim of 2000 ms is answered once by "worker-0", and else by "worker-1, worker-2"
        And the successor reaches the store and every worker but "worker-0" again 1800 ms later
        Then no task runs twice at the same time for 8 s

    Scenario: An owner goes on without the store while most workers answer
        When the owner reaches only "worker-1, worker-2, worker-3, worker-4", and not the store
        Then every task runs again within 10 s of the loss

    Scenario: A successor that most workers do not answer waits as long as the former owner may act
        When the owner reaches only "worker-0, worker-1, worker-2, worker-3", and not the store
        And a successor takes over 2 s later, which reaches only "worker-4, worker-5"
        Then no task runs twice at the same time for 20 s
