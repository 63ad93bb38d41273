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

    # Guards against a job that a successor restores from the snapshot and starts, though its caller was told that it was refused (REFUSED).
    Scenario: A job that is refused while a snapshot is written is not part of the snapshot
        Given an owner whose commits write snapshots and take 1000 ms
        When callers submit 4 jobs of 250000 bytes to it at once
        Then some of the jobs are refused, and the snapshots contain none of these

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

    # Guards against a commit of the owner that fails because it still carries the record of an ended lease.
    Scenario: A record that is announced under a new lease replaces the one whose lease has ended
        Given an owner whose lease "1" has ended
        When its record is attached under the leases "1,2"
        Then its record is written under the lease "2" only

    # Guards against a release that is lost with the record of an ended lease, for which the successor has to wait.
    Scenario: An owner whose lease has ended releases its cell all the same
        Given an owner whose lease "1" has ended
        When it is released right after its record was attached under the lease "1"
        Then it has released the cell, with the writes that need no lease
