Feature: Jobs that are cancelled while a worker is silent, with real processes

    Background:
        Given the users' platform with 6 workers and 4 processes

    # Guards against a task that starts though its job's cancelling was answered seconds before (UNASKED).
    Scenario: A start that a silent worker has left unanswered is not repeated after its job has been cancelled
        Given a worker gives no answer for 3600 ms from its first start order on, and none to stops for 1000 ms more
        When a lasting job of 4 tasks is submitted, and cancelled at once
        And the worker has answered for 2500 ms
        Then no later start order has reached the worker
        And the job's starts that took place have been stopped
