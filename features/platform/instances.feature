Feature: An instance list that has not changed is not sent again

    Scenario: An unchanged list is answered without its content, a changed one whole
        Given an instance list with 2 workers
        When the list is read 3 times
        Then the last list has 2 workers
        And 2 of the reads were answered without content
        When a worker is taken off the list
        And the list is read 1 time
        Then the last list has 1 worker
        And 2 of the reads were answered without content
