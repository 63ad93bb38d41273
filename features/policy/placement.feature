Feature: Tasks are placed where they fit

    Scenario: Decisions on any cell keep capacity, quotas and one decision a task
        Given a policy with default settings
        Then decisions on 300 arbitrary cells keep capacity, quotas and one decision a task

    Scenario: Decisions of one call see each other's reservations
        Given a policy with default settings
        And 1 live worker
        And 20 batch tasks of 4 cores that wait
        When the policy decides
        Then 8 tasks are placed

    Scenario: The room of a task on its way out counts until it is gone
        Given a policy with default settings
        And 1 live worker
        And a task of 30 cores on "worker-0" that is "moving"
        And 1 batch tasks of 4 cores that wait
        When the policy decides
        Then 0 tasks are placed
        And the reason "worker has too few free cores" holds for 1 workers of the first task

    Scenario: Replicas spread over data centres and racks
        Given a policy with default settings
        And workers in 3 data centres with 2 racks of 2 workers each
        And 6 replicas of 2 cores that wait
        When the policy decides
        Then 6 tasks are placed
        And no two of them share a rack

    Scenario: A task that no worker could ever hold is parked and blocks nobody
        Given a policy with default settings
        And 2 live workers
        And 1 batch tasks of 40 cores that wait
        And 2 batch tasks of 4 cores that wait
        When the policy decides
        Then 1 tasks are parked for "task is larger than the worker"
        And 2 tasks are placed

    Scenario: A cell whose workers are unknown parks nothing
        Given a policy with default settings
        And 1 batch tasks of 4 cores that wait
        When the policy decides
        Then 0 tasks are parked for ""

    Scenario: A denied neighbour is kept off in both directions
        Given a policy with default settings
        And 1 live worker
        And the operators deny "season-prep" beside "rental-desk"
        And a task of rule "season-prep" on "worker-0"
        And a waiting replica of rule "rental-desk"
        When the policy decides
        Then 0 tasks are placed
        And the reason "a place beside season-prep is denied" holds for 1 workers of the first task

    Scenario: Urgent tasks come first and teams share alike within a priority
        Given a policy with default settings
        And 1 live worker
        And 9 batch tasks of 4 cores of team "mills" that wait
        And 4 batch tasks of 4 cores of team "desk" that wait
        And 2 batch tasks of 4 cores of priority 2 that wait
        When the policy decides
        Then the tasks placed are 2 of priority 2, 2 more of team "mills" and 4 of team "desk"

    Scenario: A task that has failed too often is parked
        Given a policy with default settings
        And 1 live worker
        And a waiting task that failed 4 times of 3 allowed
        When the policy decides
        Then 1 tasks are parked for "failed 4 times"
