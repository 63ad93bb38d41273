Feature: Every caller gets the whole answer to its own request, or a visible failure

    Scenario: A request reaches a replica and its answer comes back whole
        Given a service with 2 replicas
        When a caller posts "kit 17" to "/beacon-check/kits/17?full=1"
        Then the caller gets status 200 and "answer to /kits/17?full=1 with kit 17"
        And the upstream received the attempt, the deadline and the gateway

    Scenario: A service that no rule names is refused as not run
        Given a service with 1 replica
        When a caller posts "x" to "/beacon-chekc/kits/17"
        Then the caller gets status 404 with outcome "not-run" and reason "unknown-service"

    Scenario: A service without replicas is refused as not run
        Given a service with 0 replicas
        When a caller posts "x" to "/beacon-check/kits/17"
        Then the caller gets status 503 with outcome "not-run" and reason "no-upstream"

    Scenario Outline: An answer that is <fault> is refused and the request is not sent again
        Given a service with 2 replicas
        And every replica answers with a body that is <fault>
        When a caller posts "x" to "/beacon-check/kits/17"
        Then the caller gets status 502 with outcome "unknown" and reason "<reason>"
        And the request was sent once
        And the refusal "<reason>" was counted once

        Examples:
            | fault            | reason             |
            | truncated        | answer-truncated   |
            | chunked and cut  | answer-truncated   |
            | another's        | answer-crossed     |
            | oversized        | answer-oversized   |
            | without an end   | answer-undelimited |
            | lost             | upstream-failed    |

    Scenario Outline: A long answer that is <fault> breaks the caller's connection
        Given a service with 1 replica
        And every replica answers with a body that is <fault>
        When a caller posts "x" to "/beacon-check/kits/17"
        Then the caller's connection breaks before the answer is whole
        And the request was sent once

        Examples:
            | fault                 |
            | long and truncated    |
            | long, chunked and cut |
            | long and oversized    |

    Scenario: A long answer arrives whole
        Given a service with 1 replica
        And every replica answers with a body that is long
        When a caller posts "x" to "/beacon-check/kits/17"
        Then the caller gets a whole answer of 262144 bytes

    Scenario: A late answer reaches nobody
        Given a service with 1 replica
        And the replica answers the path "/late" only when the next request has arrived
        When a caller posts "x" to "/beacon-check/late" and waits at most 100 ms
        Then the caller gets status 504 with outcome "unknown" and reason "upstream-timeout"
        When a caller posts "y" to "/beacon-check/kits/18"
        Then the caller gets status 200 and "answer to /kits/18 with y"
