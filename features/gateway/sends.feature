Feature: A request is sent again only when it provably did not run

    Scenario: A replica that cannot be connected to is passed over
        Given a service with 2 replicas
        And replica 0 refuses connections
        When a caller posts requests until an attempt has failed at replica 0
        Then every request got status 200
        And no request arrived twice
        And the retry "connect-failed" was counted at least once

    Scenario: A replica that refuses a request as not run is passed over
        Given a service with 2 replicas
        And replica 0 refuses requests as not run because of "busy"
        When a caller posts requests until an attempt has failed at replica 0
        Then every request got status 200
        And no request arrived at replica 1 twice
        And the retry "upstream-refused" was counted at least once

    Scenario: A request whose connection breaks after it was sent is not sent again
        Given a service with 2 replicas
        And replica 0 breaks the connection when a request has arrived
        When a caller posts requests until an attempt has failed at replica 0
        Then no request arrived twice
        And every request without an answer got outcome "unknown"
        And at least one request got no answer

    Scenario: Retries stop when the budget is used up
        Given a service with 2 replicas and a retry budget of 3
        And replica 0 refuses requests as not run because of "busy"
        And replica 1 refuses requests as not run because of "busy"
        When a caller posts 20 requests one after the other
        Then every request got status 503
        And 23 requests arrived in all

    Scenario: A request whose permit lapses before it leaves is not sent
        Given a service with 1 replica and a guard whose permits have lapsed
        When a caller posts "x" to "/beacon-check/kits/17"
        Then the caller gets status 503 with outcome "not-run" and reason "permit-lapsed"
        And no request arrived
        And the guard received the outcome "not-run"

    Scenario: A guard is told of a whole answer, and keeps it where there is a key
        Given a service with 1 replica and a guard that permits requests
        When a caller posts "x" with idempotency key "weighing-9"
        Then the caller gets status 200 and "answer to /kits/17 with x"
        And the guard received the outcome "answered"
        And the guard was given the answer "answer to /kits/17 with x"

    Scenario: A kept answer is given again without an upstream
        Given a service with 1 replica and a guard that has stored the answer "kept"
        When a caller posts "x" with idempotency key "weighing-9"
        Then the caller gets status 200 and "kept"
        And no request arrived

    Scenario: A request is passed on to the gateway that holds its key
        Given a service with 1 replica and a guard that forwards requests to a second gateway
        When a caller posts "x" with authorization "Basic abc"
        Then the caller gets status 200 and "answer to /kits/17 with x"
        And the request was sent once
        And the upstream received the authorization "Basic abc"
        And the upstream received the gateway "entry-2"

    Scenario: A request is passed on only under the peer token
        Given a service with 1 replica
        When a request is forwarded without the peer token
        Then the caller gets status 401
        And no request arrived

    Scenario: A holder that cannot be reached is a refusal as not run
        Given a service with 1 replica and a guard that forwards requests to a gateway that is gone
        When a caller posts "x" to "/beacon-check/kits/17"
        Then the caller gets status 502 with outcome "not-run" and reason "forward-failed"
        And no request arrived
