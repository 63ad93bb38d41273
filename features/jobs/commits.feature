Feature: What callers are told about commits that failed

    Scenario: A submission whose commit ended in a conflict is not called refused, for it may have been stored before
        Given an owner whose commit takes 600 ms and ends as "conflict"
        When a caller submits a job to it
        Then the caller is not told that the job was refused

    Scenario: A submission whose commit was stopped before its outcome was known is not called refused
        Given an owner whose commit takes 600 ms and ends as "ambiguous"
        When a caller submits a job to it
        Then the caller is not told that the job was refused

    Scenario: A submission that the store certainly did not take is refused
        Given an owner whose commit takes 600 ms and ends as "unavailable"
        When a caller submits a job to it
        Then the caller is told that the job was refused

    Scenario: A refusal that comes after a try without an answer is not passed on
        Given a front whose first owner gives no answer and whose second one refuses
        When a caller submits a job to the front
        Then the caller is not told that the job was refused

    Scenario Outline: An owner that has lost its cell without knowing it does not say that a job is unknown
        Given an owner whose commit takes 100 ms and ends as "conflict"
        When a caller asks it to <request> a job that its successor has taken in
        Then the caller is not told that there is no such job

        Examples:
            | request |
            | show    |
            | cancel  |

    Scenario: A job that was never submitted is unknown once a commit has shown who owns the cell
        Given an owner whose commits work
        When a caller asks it to show a job that it has never been given
        Then the caller is told that there is no such job
