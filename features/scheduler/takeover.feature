Feature: A cell outlives its owner

    Scenario Outline: No task is lost or doubled when its cell's owner is <ending>
        Given a deployment of 3 entry instances and 6 workers runs 6 replicas and 10 batch tasks
        When the owner of the cell is <ending> while answers of the store get lost
        Then another process owns the cell with a higher epoch
        And a new urgent replica starts
        And what ran before still runs, and nothing ran in two places at once
        And verifying the exported ledgers finds no violation

        Examples:
            | ending                      |
            | killed                      |
            | killed and started again    |
            | paused until it was replaced |
