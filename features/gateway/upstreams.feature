Feature: Requests keep away from upstreams that are silent, failing or leaving

    Scenario: A connection that has gone silent is replaced, and its upstream is not given up
        Given a service with 1 replica
        And 3 open connections that have gone silent
        When a caller posts "x" to "/beacon-check/kits/1" and waits at most 200 ms
        Then the caller gets status 504 with outcome "unknown" and reason "upstream-timeout"
        And the probe on a new connection opens no breaker
        When a caller posts 10 requests one after the other
        Then every request got status 200

    Scenario: An upstream that is silent on new connections too is given up
        Given a service with 2 replicas and breakers that open for 60000 ms
        And replica 0 is silent
        When a call to replica 0 has timed out and its probe has failed
        Then 30 requests one after the other are answered by replica 1

    Scenario: A service whose every replica was given up is refused at once, and nothing is sent
        Given a service with 1 replica and breakers that open for 60000 ms
        And replica 0 is silent
        When a call to replica 0 has timed out and its probe has failed
        And the received requests are cleared
        And a caller posts "x" to "/beacon-check/kits/2" and waits at most 100 ms
        Then the caller gets status 503 with outcome "not-run" and reason "circuit-open"
        And no request arrived

    Scenario: An upstream that was given up gets requests again once it answers
        Given a service with 2 replicas and breakers that open for 50 ms
        And replica 0 is silent
        When a call to replica 0 has timed out and its probe has failed
        When replica 0 answers again
        Then requests reach replica 0 again

    Scenario: Replicas that fail more than the others are left out, at most a share of them
        Given a service with 4 replicas
        And replicas 0 and 1 answer every request with status 500
        When 300 requests have been made
        Then of 400 further requests at most 120 reached replica 0 or replica 1
        And of 400 further requests at least one reached replica 0 or replica 1

    Scenario: A replica that routes name as leaving gets nothing new
        Given a service with 2 replicas
        When the routes name replica 0 as leaving
        Then 50 requests one after the other are answered by replica 1

    Scenario: A replica that says that it is leaving gets nothing new though the routes lag
        Given a service with 2 replicas
        And replica 0 refuses requests because it is leaving
        When it has refused one request
        Then 50 requests one after the other are answered by replica 1

    Scenario: A replica that was not leaving after all gets requests again
        Given a service with 2 replicas that are excluded after a leaving refusal for 300 ms
        And replica 0 refuses requests because it is leaving
        When it has refused one request
        And replica 0 answers again
        Then requests reach replica 0 again

    Scenario: A gateway that has sent a leaving replica nothing learns of it from another gateway
        Given a service with 2 replicas and two gateways, the second in the first one's membership
        And replica 0 refuses requests because it is leaving
        When it has refused one request
        And the second gateway has received the announcement
        Then 50 requests one after the other through the second gateway are answered by replica 1

    Scenario: Routes of a superseded owner change nothing
        Given a service with 2 replicas
        When a scheduler with an older epoch offers no replicas
        Then 10 requests are answered

    Scenario: Routes stay in force when their scheduler is gone
        Given a service with 2 replicas
        When the scheduler is gone
        Then 10 requests are answered

    Scenario: Replicas of the gateway's own data centre go first
        Given a service with 2 replicas, the second in another data centre that is used at 10 times the cost
        And replica 0 needs 20 ms for each request
        And replica 1 needs 20 ms for each request
        When 200 requests have been made
        Then replica 0 got at least 9 of 10

    Scenario: Another data centre takes what the own one cannot
        Given a service with 2 replicas, the second in another data centre
        And replica 0 refuses connections
        Then 10 requests are answered
