Feature: Jobs that are cancelled around takeovers, with real processes

    Background:
        Given the users' platform with 6 workers and 4 processes

    # Guards against a former owner that wakes and repeats a start whose job was cancelled while it stood still (UNASKED).
    Scenario Outline: An owner paused for <seconds> s over a start starts nothing of the cancelled job on <workers> unaware worker(s)
        Given a lasting job of 4 tasks is submitted, and a worker leaves its first start unanswered
        When the owner is paused for <seconds> s, and its successors do not reach that worker or <others> others
        And the job is cancelled at another process
        And the owner has gone on
        And the worker answers orders again
        And no process is paused, and the present owner reaches every worker
        And a later job is completed
        Then no task of the job has started later than 3000 ms after its cancelling was answered
        And nothing of the job runs on

        Examples:
            | seconds | workers | others |
            | 2       | 1       | 0      |
            | 4       | 1       | 0      |
            | 6.5     | 1       | 0      |
            | 6.5     | 6       | 5      |

    # Guards against a former owner that is answered by workers, but does not learn of the cancelling from the store (UNASKED).
    Scenario Outline: An owner that the store <way> starts nothing of a job whose cancelling its successor has answered
        Given a lasting job of 4 tasks is submitted, and a worker leaves its first start unanswered
        When the store <way> the owner, and its successors do not reach that worker or <others> others
        And another process owns the cell
        And the job is cancelled at another process
        And the worker answers orders again
        And a later job is completed
        And the store answers the former owner again
        And no process is paused, and the present owner reaches every worker
        Then no task of the job has started later than 3000 ms after its cancelling was answered
        And nothing of the job runs on

        Examples:
            | way     | others |
            | ignores | 0      |
            | ignores | 3      |
            | refuses | 3      |

    # Guards against the first of several former owners, which knows neither its successors nor the cancelling (UNASKED).
    Scenario: Two owners that were paused one after the other start nothing of a job that the second has cancelled
        Given a lasting job of 4 tasks is submitted, and a worker leaves its first start unanswered
        When the owner is paused for 6.5 s, and its successors do not reach that worker or 0 others
        And another process owns the cell
        And the job is cancelled at another process
        And the present owner is paused for 6 s as well
        And the owner has gone on
        And the worker answers orders again
        And no process is paused, and the present owner reaches every worker
        And a later job is completed
        Then no task of the job has started later than 3000 ms after its cancelling was answered
        And nothing of the job runs on

    Scenario: Two owners that were paused one after the other start nothing of a job that the third has cancelled
        Given a lasting job of 4 tasks is submitted, and a worker leaves its first start unanswered
        When the owner is paused for 6.5 s, and its successors do not reach that worker or 0 others
        And another process owns the cell
        And the present owner is paused for 6 s as well
        And the job is cancelled at another process
        And the owner has gone on
        And the worker answers orders again
        And no process is paused, and the present owner reaches every worker
        And a later job is completed
        Then no task of the job has started later than 3000 ms after its cancelling was answered
        And nothing of the job runs on

    # Guards against a start that was sent before the cancelling and is carried out after it, and then runs on (UNASKED).
    Scenario Outline: A start that a worker carries out late is stopped after its job was cancelled, and its owner <fate>
        Given a lasting job of 4 tasks is submitted, and a worker carries out its first start late
        When the owner <fate>
        And the job is cancelled at another process
        And the late start has taken place, and the worker answers orders again
        And no process is paused, and the present owner reaches every worker
        And a later job is completed
        Then each run of the job has ended within 3900 ms of its start or the cancelling's answer
        And nothing of the job runs on

        Examples:
            | fate              |
            | stays             |
            | is killed         |
            | is paused for 4 s |

    Scenario Outline: A start that a cut link has held up is stopped after its job was cancelled, and its owner <fate>
        Given a worker's link is cut as a lasting job of 6 tasks is submitted
        When the owner <fate>
        And the job is cancelled at another process
        And the link is whole again 3.5 s after it was cut
        And no process is paused, and the present owner reaches every worker
        And a later job is completed
        Then each run of the job has ended within 3900 ms of its start or the cancelling's answer
        And nothing of the job runs on

        Examples:
            | fate              |
            | stays             |
            | is killed         |
            | is paused for 3 s |
            | is paused for 6 s |
