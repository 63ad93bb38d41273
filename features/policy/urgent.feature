Feature: Urgent work makes room for itself

    Scenario: Urgent work evicts the least urgent batch work it needs, once, and gets the room
        Given a full worker with 8 batch tasks of 4 cores and one of them of priority 9
        And an urgent task of 4 cores that waits
        When it decides
        Then exactly the task of priority 9 is evicted
        When it decides again before the eviction is complete
        Then nothing more is evicted
        When the evicted task is gone and a batch task of 4 cores waits too
        Then the urgent task is placed and the batch task is not

    Scenario: Room that is being made is not given away bit by bit
        Given a full worker with 8 batch tasks of 4 cores and one of them of priority 9
        And an urgent task of 8 cores that waits
        When it decides
        Then 2 tasks are evicted
        When the first evicted task is gone and a batch task of 4 cores waits too
        Then nothing is placed
        When the second evicted task is gone as well
        Then the urgent task is placed and the batch task is not

    Scenario: Work of the same urgency is not evicted
        Given a full worker with 8 batch tasks of 4 cores and one of them of priority 9
        And all its tasks are as urgent
        And an urgent task of 4 cores that waits
        When it decides
        Then 0 tasks are evicted

    Scenario: A task that was evicted too often is left alone
        Given a full worker with 8 batch tasks of 4 cores and one of them of priority 9
        And all its tasks were evicted 3 times
        And an urgent task of 4 cores that waits
        When it decides
        Then 0 tasks are evicted

    Scenario: No less urgent task is placed where a more urgent one of the same kind waits
        Then priority order holds in 200 arbitrary cells
