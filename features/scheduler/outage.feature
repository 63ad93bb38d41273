Feature: Store outages, alone and together with another failure

    Scenario: Beyond the horizon services go on, batch falls back to its checkpoint, and nothing runs twice
        Given owners that may go on without the store for 5000 ms under leases of 6000 ms run 4 replicas and 6 batch tasks
        And a worker leaves, so that its batch tasks resume elsewhere from a checkpoint
        When the store is out of service until all batch tasks have lapsed
        Then the replicas of before still run
        When the store is back in service
        Then each batch task runs again from the checkpoint that it had
        And the replicas of before still run
        And nothing ran in two places at once

    Scenario: The owner of a cell dies in a store outage
        Given owners that may go on without the store for 1800000 ms under leases of 120000 ms run 4 replicas and 6 batch tasks
        When the store is out of service and the owner of the cell is killed
        And the store is back in service
        Then another process owns the cell with a higher epoch
        And a new urgent replica starts
        And all that ran before the outage still runs
        And nothing ran in two places at once

    Scenario: A worker is silent during a takeover
        Given owners that may go on without the store for 1800000 ms under leases of 6000 ms run 4 replicas and 6 batch tasks
        When a worker with batch tasks falls silent and the owner of the cell is killed
        Then another process owns the cell with a higher epoch
        And a new urgent replica starts
        When the silent worker has let its tasks lapse and answers again
        Then 6 batch tasks run
        And nothing ran in two places at once
