Feature: Orders that wait for a connection to their worker

    Background:
        Given a worker that has not answered the orders on all its connections yet

    Scenario: An order that waits for a connection is sent when one is free
        When a start waits for a connection
        And the worker answers
        Then the start has reached the worker

    # Guards against a start that is sent after its job has been cancelled, because it has waited behind other orders.
    Scenario Outline: <order> that is not wanted any more when a connection is free is not sent
        When <order> waits for a connection, and is not wanted any more
        And the worker answers
        Then the order fails as "unavailable", and has not reached the worker

        Examples:
            | order   |
            | a start |
            | a stop  |
            | a pace  |

    # Guards against orders of an owner whose permission ran out while its process stood still.
    Scenario: An order that has waited while the process stood still is checked at the present time
        When a start waits for a connection, and is wanted for 200 ms
        And the worker answers while the process stands still for 800 ms
        Then the order fails as "unavailable", and has not reached the worker

    Scenario: An order that gets no connection within its time limit has not been sent
        When a start waits for a connection
        And the time limit has passed
        Then the order fails as "unavailable", and has not reached the worker
        When the worker answers
        Then the start has not reached the worker
