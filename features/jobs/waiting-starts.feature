Feature: A start that waits or is repeated is sent only while it is wanted and allowed

    Background:
        Given a start that its worker has left unanswered

    # Guards against a task that starts though its job has been cancelled (UNASKED) or its worker drains (DRAIN).
    Scenario Outline: A start without an answer is not repeated after <event>
        When <event>
        And the worker answers again
        Then the start is not sent again, and a stop is ordered

        Examples:
            | event                                    |
            | the job has been cancelled               |
            | another copy of the task is done         |
            | the worker has begun to drain            |
            | the worker has left the list for 3000 ms |
            | the queue has been removed               |
            | the queue has got other workers          |
            | the worker has lost half of its capacity |

    Scenario: A start without an answer is repeated at a worker that answers again
        When the worker answers again
        Then the start is sent again

    # Guards against work that is thrown away, because an unanswered start may have been carried out.
    Scenario Outline: A start without an answer that has taken place goes on after <event>
        When <event>
        And the worker answers again, and runs the task
        Then the start is not sent again
        And the task goes on

        Examples:
            | event                                    |
            | the worker has begun to drain            |
            | the worker has left the list for 3000 ms |
            | the queue has been removed               |
            | the worker has lost half of its capacity |

    # Guards against an owner that repeats orders though it may have a successor.
    Scenario: A start without an answer is not repeated while the owner may not send orders
        When the owner may not send orders
        And the worker answers again
        Then the start is not sent again
        When the owner may send orders again
        Then the start is sent again

    Scenario: A start without an answer is not repeated while its task is suspected of a crash
        When the task is suspected of a crash of its worker
        And the worker answers again
        Then the start is not sent again
        When the task is cleared
        Then the start is sent again

    # Guards against members of a gang that wait for one that has not started.
    Scenario: The other members of a gang are stopped when one of them is refused
        Given a gang of 3 whose starts are unanswered
        When a worker refuses one of them
        Then the other members are to be stopped
