Feature: Submissions that arrive after their cancelling

    # Guards against a task that starts though its job's cancelling was answered seconds before (UNASKED): a submission that was
    # held up, or sent again, hands the job in anew.
    Scenario Outline: A submission that was held up until its cancelling was answered does not run
        Given an owner of simulated workers
        When a job that it has never been given is cancelled there
        And <event>
        And the job is submitted
        Then the submission was accepted
        And the job is shown as cancelled, and none of its tasks starts

        Examples:
            | event                        |
            | nothing else happens         |
            | the cancelling is repeated   |
            | its successor has taken over |

    Scenario: A job that was cancelled and never submitted is not shown
        Given an owner of simulated workers
        When a job that it has never been given is cancelled there
        Then there is no such job
        When its successor has taken over
        Then there is no such job

    # The submission is refused and its cancelling is answered, so that a repeated submission must not run.
    Scenario Outline: A job that was cancelled before its submission was refused does not run when it is submitted again
        Given an owner of simulated workers
        When the job is submitted and cancelled while the owner cannot reach the store
        And <event>
        And the job is submitted
        Then the submission was accepted
        And the job is shown as cancelled, and none of its tasks starts

        Examples:
            | event                        |
            | nothing else happens         |
            | its successor has taken over |

    # Guards against a caller who is told that a job was accepted after it has been withdrawn (LOST).
    Scenario: A submission that waits twice for a commit is refused to both callers
        Given an owner of simulated workers
        When the job is submitted twice while the owner cannot reach the store
        Then both submissions are refused
        And there is no such job

    # Bounds the memory and the ledger of an owner whose callers cancel jobs that do not exist.
    Scenario: The cancelling of an unknown job is kept as long as ended jobs
        Given a job table restored from a snapshot that holds the cancelling of an unknown job
        Then it still holds it when jobs that ended before then are removed
        And it has forgotten it when jobs that ended by then are removed
