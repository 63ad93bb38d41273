# Guards against lasting tasks that stay away, and jobs shown as completed, because a run has ended as done.
Feature: Lasting tasks are started again however their runs end

    Scenario Outline: A lasting task whose run has ended is started again
        Given a job of 2 lasting tasks that run
        When the run of every task ends as "<end>"
        Then every task waits for its next start, and the job still runs

        Examples:
            | end     |
            | done    |
            | failed  |
            | stopped |
            | lapsed  |

    Scenario: A lasting gang whose run has ended as done is started again as a whole
        Given a job of a gang of 3 lasting tasks that run
        When the run of one task ends as "done"
        Then no task waits for its next start
        When the run of every task ends as "done"
        Then every task waits for its next start, and the job still runs

    Scenario: A step that waits for a lasting one does not begin, as that one is never done
        Given a job of 2 lasting tasks that run, and of 1 task after them
        When the run of every task ends as "done"
        Then the task after them does not start

    Scenario: A run that has ended as done is not part of the ledger
        Given a job of 2 lasting tasks that run
        When the run of every task ends as "done"
        Then a successor that reads the segments or a snapshot starts every task

    Scenario: A lasting task that an older version has recorded as done is started again
        Given a ledger in which the 2 tasks of a lasting job are done
        Then a successor that reads it starts every task

    Scenario: Lasting tasks that end as done run again with real processes, also after a takeover
        Given the users' platform with 2 workers and 2 processes
        When a caller submits job "00000000000000ac" of 2 lasting tasks that end as done after 400 ms
        Then every task of job "00000000000000ac" starts 2 more times
        And job "00000000000000ac" is shown as "in_progress" by every process
        When the owner of the cell is killed
        Then every task of job "00000000000000ac" starts 2 more times
        And job "00000000000000ac" is shown as "in_progress" by the other processes
        And no task of job "00000000000000ac" ran twice at the same time
