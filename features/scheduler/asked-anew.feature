Feature: Orders that wait or are repeated are sent only while they are wanted and allowed

    Scenario: A start without an answer is not repeated once its rule has ended
        When a worker leaves a start unanswered, and the rule ends before it answers again, while the store hangs
        Then no start was sent after the rule had ended

    Scenario: A start without an answer is not repeated on a worker that drains
        When a worker leaves a start unanswered, and is drained before it answers again
        Then the worker started nothing, and the task was started on the other one

    Scenario: A scheduler that the store has not confirmed for a while starts nothing
        When an owner without the store keeps a start that its successor has cancelled
        Then nothing was started after the cancelling had been acknowledged

    Scenario: A scheduler that has released its cell starts nothing there any more
        When a cell is released while its owner waits for the answer to a stop, with a start behind it
        Then its owner sent no start after the release
