Feature: The store stand-in keeps to the etcd v3 API as the store adapter uses it

    Background:
        Given a store stand-in with the settings '{"writesPerSecond": 100, "historyEvents": 20}'

    Scenario: A transaction takes effect where all its comparisons hold, else not at all
        When "a/1" is written where it does not exist
        Then the write "succeeded" at revision 2
        When "a/1" is written where it does not exist
        Then the write "did not succeed" at revision 2
        And the conflicting entry has the value of the first write

    Scenario: Keys of a prefix come in byte order, page by page
        Given the keys "p/c,p/a,p/ü,p/b,q/a" are written
        Then the prefix "p/" reads "p/a,p/b" and then "p/c,p/ü"

    Scenario: Keys that are bound to a lease go when it lapses, and watches are told
        Given a watch on "l/" from revision 1
        And "l/1" is written under a lease of 1 second
        Then the watch sees "put l/1"
        And the watch sees "delete l/1"
        And renewing the lease fails as "not-found"

    Scenario: A renewed lease keeps its keys, a revoked one deletes them
        Given a watch on "l/" from revision 1
        And "l/1" is written under a lease of 60 seconds
        When the lease is renewed and then revoked
        Then the watch sees "delete l/1"

    Scenario: A watch from a past revision replays what it missed, in order
        Given the keys "w/1,w/2,w/3" are written
        When a watch on "w/" from revision 3
        Then the watch sees "put w/2"
        And the watch sees "put w/3"

    Scenario: A watch from a compacted revision is cancelled
        Given 100 writes to "w/1"
        When a watch on "w/" from revision 2
        Then the watch ends as "refused"

    Scenario: A lost answer is an ambiguous write that took effect, and a commit settles it
        Given the store has the faults '{"loseAnswers": 1}'
        When a record is committed under "r/1"
        Then the commit gives a revision
        And the store's counts show 1 "lostAnswers"

    Scenario: A commit whose answer never comes is found by reading the record
        When a commit of "r/1" takes effect, but its answer never comes
        Then the commit gives a revision

    Scenario: A commit that was lost while another of its conditions ceased to hold ends as ambiguous
        When a commit of "r/1" on condition that "n/1" does not exist is lost while "n/1" is written
        Then the commit fails as "ambiguous"

    # Guards against a commit that is repeated for ever because its lease has ended.
    Scenario: A commit whose lease has ended before it was repeated is not written, and its caller is told
        When a commit of "r/1" under a lease is lost, and the lease ends
        Then the commit fails as "not-found"
        And the prefix "r/" reads "" and then ""

    # Guards against a commit that took effect, but is reported as not written because its lease has ended.
    Scenario: A commit whose answer was lost has succeeded though its lease has ended since
        When a commit of "r/1" under a lease takes effect, its answer is lost, and the lease ends
        Then the commit gives a revision

    # Guards against a commit that is repeated for ever though the store refuses to take it.
    Scenario: A commit that was lost, and is refused when it is repeated, ends as ambiguous
        When a commit of "r/1" is lost, and its repetition is refused
        Then the commit fails as "ambiguous"

    Scenario: A store that is down for good answers nothing as written
        Given the store has the faults '{"down": "unavailable"}'
        Then a write of "a/1" fails as "ambiguous"
        And a read of "a/1" fails as "unavailable"

    Scenario: A store that hangs is a timeout
        Given the store has the faults '{"down": "hang"}'
        Then a read of "a/1" fails as "timeout"

    Scenario: Stale reads show the past until they are switched off, and writes still compare with the present
        Given the keys "s/1" are written
        And the store has the faults '{"staleReads": true}'
        And the keys "s/2" are written
        Then the prefix "s/" reads "s/1" and then ""
        When the store has the faults '{"staleReads": false}'
        Then the prefix "s/" reads "s/1,s/2" and then ""

    Scenario: Broken watches end, silent ones tell nothing
        Given a watch on "w/" from revision 1
        When the store has the faults '{"breakWatches": true}'
        Then the watch ends as "unavailable"

    Scenario: A value over the limit is refused without effect
        When 1100000 bytes are written to "a/1"
        Then the write has failed as "refused"
        And the prefix "a/" reads "" and then ""

    Scenario: A malformed call names what is wrong
        When '{"key": 7}' is posted to "/v3/kv/range"
        Then the store answers status 400 naming "key"

    Scenario: Each call is counted by kind, a waiting watch as one
        Given a watch on "w/" from revision 1
        And the keys "w/1,w/2" are written
        And the watch sees "put w/2"
        Then the store's counts show 1 "watch" calls and 2 "txn" calls
