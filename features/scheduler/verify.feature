Feature: Verifying the ledgers finds what is wrong with them

    Scenario: A ledger as its owner left it has no violation
        Given the exported ledgers of a fleet that ran 3 replicas and 4 batch tasks
        Then verifying them finds nothing in 7 placed tasks

    Scenario Outline: A ledger in which <fault> breaks "<invariant>"
        Given the exported ledgers of a fleet that ran 3 replicas and 4 batch tasks
        When the export is changed so that <fault>
        Then verifying them finds only violations of "<invariant>"

        Examples:
            | fault                                          | invariant           |
            | a task's spec is gone                          | ledger-whole        |
            | a running task has no worker                   | ledger-whole        |
            | a running task has made no attempt             | ledger-whole        |
            | a segment of the log is gone                   | ledger-whole        |
            | a chunk of the snapshot is gone                | ledger-whole        |
            | a task stands twice                            | one-place           |
            | a task is in two cells                         | one-place           |
            | an evicted task has made no attempt            | resume-once         |
            | a finished task has a checkpoint               | resume-once         |
            | a task has progress and no checkpoint          | resume-once         |
            | an admission is gone                           | admitted-once       |
            | a run is newer than the admission              | admitted-once       |
            | a worker holds more tasks than it has slots    | capacity            |
            | a rule is gone                                 | no-job-without-rule |

    Scenario: A segment that is missing in the store is found
        Given the exported ledgers of a fleet that ran 3 replicas and 4 batch tasks
        When a segment of a ledger is removed from the store
        Then verifying a new export finds a violation of "ledger-whole"

    Scenario: A segment that can't be read is named
        Given the exported ledgers of a fleet that ran 3 replicas and 4 batch tasks
        When a segment of a ledger is overwritten in the store
        Then a new export fails and names the segment
