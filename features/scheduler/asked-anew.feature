Feature: Orders that wait or are repeated are sent only while they are wanted and allowed

    Scenario: A start without an answer is not repeated once its rule has ended
        When a worker leaves a start unanswered, and the rule ends before it answers again, while the store hangs
        Then no start was sent after the rule had ended

    Scenario: A start without an answer is not repeated on a worker that drains
        When a worker leaves a start unanswered, and is drained before it answers again
        Then the worker started nothing, and the task was started on the other one
