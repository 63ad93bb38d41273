Feature: A request with an idempotency key runs at most once

    Background:
        Given a store
        And gateways "A" and "B" that record requests

    Scenario: A repeat through another gateway gets the recorded answer
        When "A" runs request "bill-1" and answers "paid"
        And "B" is asked to run request "bill-1"
        Then "B" replays "paid"
        And request "bill-1" ran 1 times

    Scenario: A key used for a different request is refused
        When "A" runs request "bill-1" and answers "paid"
        And "B" is asked to run another request under the key "bill-1"
        Then "B" refuses as "not-run" for "idempotency-key-reused"

    Scenario: After a crash between send and answer the outcome stays unknown
        When "A" sends request "bill-1" and crashes
        And the deadline of "bill-1" passes
        And "B" is asked to run request "bill-1"
        Then "B" refuses as "unknown" for "idempotency-outcome-unknown"
        And request "bill-1" ran 1 times

    Scenario: The answer to the intent's write is lost
        Given the store loses the next 1 answers
        When "A" runs request "bill-1" and answers "paid"
        And "B" is asked to run request "bill-1"
        Then "B" replays "paid"
        And request "bill-1" ran 1 times

    Scenario: With the store down a request is refused and can be sent again later
        Given the store is down
        When "A" is asked to run request "bill-1"
        Then "A" refuses as "not-run" for "idempotency-store-unavailable"
        When the store is up
        And "B" runs request "bill-1" and answers "paid"
        Then request "bill-1" ran 1 times

    Scenario: A request that provably did not run can be sent again
        When "A" is permitted to run request "bill-1" and nothing runs
        And "B" runs request "bill-1" and answers "paid"
        Then request "bill-1" ran 1 times

    Scenario: Random faults never make a request run twice
        Then no request runs twice in 40 random histories with seed 11
        And without the guard a request runs twice in such a history
