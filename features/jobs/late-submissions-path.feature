Feature: Submissions that arrive after their cancelling, with real processes

    Background:
        Given the users' platform with 3 workers and 3 processes

    # Guards against a task that starts though its job's cancelling was answered seconds before (UNASKED).
    Scenario: A submission that arrives at another process after its cancelling does not run
        When job "00000000000000e1" is cancelled before its submission has arrived
        And the submission arrives at the last process
        Then job "00000000000000e1" is shown as "cancelled" by every process
        And nothing of job "00000000000000e1" runs or starts any more
        And no task of job "00000000000000e1" ever ran

    Scenario: A submission that arrives after its cancelling and the death of the owner does not run
        When job "00000000000000e1" is cancelled before its submission has arrived
        And the process that owns the cell is killed
        And the submission arrives at the last process
        Then job "00000000000000e1" is shown as "cancelled" by every process
        And nothing of job "00000000000000e1" runs or starts any more
        And no task of job "00000000000000e1" ever ran
