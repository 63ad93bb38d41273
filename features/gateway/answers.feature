Feature: Every caller gets the whole answer to its own request, or a visible failure

    Scenario: A request reaches a replica and its answer comes back whole
        Given a service with 2 replicas
        When a caller posts "kit 17" to "/beacon-check/kits/17?full=1"
        Then the caller gets status 200 and "answer to /kits/17?full=1 with kit 17"
        And the upstream was told the attempt, the deadline and the gateway

    Scenario: A service that no rule names is refused as not run
        Given a service with 1 replica
        When a caller posts "x" to "/beacon-chekc/kits/17"
        Then the caller gets status 404 with outcome "not-run" and reason "unknown-service"

    Scenario: A service without replicas is refused as not run
        Given a service with 0 replicas
        When a caller posts "x" to "/beacon-check/kits/17"
        Then the caller gets status 503 with outcome "not-run" and reason "no-upstream"
