Feature: What an order that waits or is repeated has to ask besides

    # Guards against a start on a worker without the label of its step (ROUTE): a new life may be of a different kind.
    Scenario: A start without an answer is not repeated at a worker that has come back without the label of its step
        Given a start without an answer whose step requires a label
        When the worker has come back as another kind, and has reported
        Then the worker gets no second start order

    # Guards against a lease on the clock of a former life (TWICE): the new life grants its longest lease, and nobody counts with it.
    Scenario Outline: A first start that waits for a connection is not wanted any more <event>
        Given a start that waits for a connection
        When its worker <state>
        Then the start is not wanted any more

        Examples:
            | event                                      | state                             |
            | after a new life of its worker             | has reported from a new life      |
            | while its worker's reports fail            | has failed to report              |
            | after its worker has listed foreign runs   | has reported runs of other owners |

    # Guards against two runs of a task (TWICE): the first order may be carried out seconds later, after newer calls.
    Scenario: A start that is refused after one without an answer is not given up without a stop
        Given a start without an answer, and a refusal for lack of room of its repetition
        Then the attempt is still listed, and is to be stopped

    # Guards against a filler that runs at another pace than its owner believes (HARM).
    Scenario: A pace that has been superseded is not sent, and its failure does not change the later one
        Given a filler whose pace order of 50 waits for a connection
        When a pace of 0 is ordered and confirmed
        Then the order of 50 is not wanted any more
        When the order of 50 fails
        Then the owner still counts with a pace of 0

    # An order that is given up unsent must not cost the connection that had become free for it.
    Scenario: Orders that are not wanted any more cost no connections
        Given a worker that has not answered the orders on all its connections yet
        When 20 starts wait for a connection, and are not wanted any more
        And the worker answers
        And an order is sent and answered
        Then the worker has seen at most 5 connections

    # A cancelled job says nothing about the worker that its start waited for.
    Scenario: A start that was not sent because its job was cancelled does not keep other starts from its worker
        Given a start that waits for a connection
        When its job is cancelled, and the start is given up unsent
        Then other starts may be sent to its worker at once

    # Guards against two runs of a task (TWICE): its successor relies on a released cell having no owner that acts.
    Scenario: An owner that releases its cell gives no orders while the store's answer is under way
        Then an owner starts nothing from its release on, while the store's answer is under way
