Feature: The ledger of a cell with many jobs

    Scenario: Changes that are too long for one value are split into parts that fit, and lose nothing
        Given changes of 400 jobs and 20000 tasks that are done
        When they are split into parts of at most 100000 bytes
        Then each part fits, and played one after the other they are the whole

    Scenario: A snapshot is not written again and again where the books are much larger than what changes
        Given a ledger whose books hold 2000 jobs
        When 900 commits of one task each are made
        Then at most 3 snapshots have been written, and 480 segments are never exceeded
        And a successor reads back all 900 tasks

    Scenario: A part of a snapshot that arrives late does not replace a newer one
        Given a ledger whose books hold 2000 jobs
        And the store carries out the first part of the next snapshot late
        When 120 commits of one task each are made
        Then a successor reads back all 120 tasks

    Scenario: An owner whose snapshot takes long is not in trouble while the store takes part after part
        Given an owner whose commit takes 1500 ms, of which the store takes a part every 250 ms
        When a caller submits a job to it
        Then the caller is told that the job was accepted
        And the owner has never counted as in trouble

    Scenario: A successor waits for all former owners that may still act, not only for the last one
        Given a ledger that "a" owns
        When "b" claims it, while nobody has stopped
        And its owner commits before it has heard all workers
        And "c" claims it, while "b" has stopped
        Then its owner has to wait for "a"

    Scenario: A former owner whose workers have all been heard is not waited for again
        Given a ledger that "a" owns
        When "b" claims it, while nobody has stopped
        And its owner has heard all workers, and commits
        And "c" claims it, while nobody has stopped
        Then its owner has to wait for "b"

    Scenario: An owner that releases the cell early passes on whom its successor has to wait for
        Given a ledger that "a" owns
        When "b" claims it, while nobody has stopped
        And its owner releases it before it has heard all workers
        And "c" claims it, while nobody has stopped
        Then its owner has to wait for "a"
