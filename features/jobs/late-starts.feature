Feature: Start orders that a worker carries out late, in its next life

    # Guards against two runs of a task: the late one on the new life, beside the one that was started elsewhere (TWICE).
    Scenario Outline: A task whose start may be carried out late waits until the new life of its worker rejects that start
        Given a worker that leaves the first start of a task without an answer and confirms the second
        When <event>, and the worker reports from a new life
        Then the task is not ready before the new life has confirmed a stop of that attempt
        And the late start is rejected
        And the task is ready after the next report

        Examples:
            | event                             |
            | the attempt runs                  |
            | the attempt is listed and stopped |

    Scenario: A late start that a new life carries out before its stop ends before the task is ready
        Given a worker that leaves the first start of a task without an answer and confirms the second
        When the attempt runs, and the worker reports from a new life
        And the late start is carried out before the stop
        Then the task is not ready before the late run has ended

    Scenario: A task whose starts were all answered is ready as soon as a new life of its worker reports
        Given a worker that confirms the first start of a task
        When the attempt runs, and the worker reports from a new life
        Then the task is ready

    Scenario Outline: A start without an answer keeps its task waiting for 12 s at most
        Given a worker that leaves the first start of a task without an answer and confirms the second
        When <milliseconds> ms after the second the worker reports from a new life that confirms no stop
        Then the task is <state>

        Examples:
            | milliseconds | state     |
            | 11000        | not ready |
            | 12500        | ready     |

    Scenario: A stop that a new life does not confirm keeps its task waiting until 12 s after the start
        Given a worker that leaves the first start of a task without an answer and confirms the second
        When 2000 ms after the second the worker reports from a new life that confirms no stop
        And it still reports without the attempt 10500 ms later
        Then the task is ready
