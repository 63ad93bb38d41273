Feature: Random faults of upstreams break no promise to callers

    Scenario: Answers are whole and the caller's own, refusals as not run are true, nothing runs twice
        Given a service with 3 replicas whose faults are drawn
        Then the promises hold in 40 random mixes of calls with seed 17

    Scenario: A forwarder that passes on what it gets and sends again breaks the promises
        Given a service with 3 replicas whose faults are drawn
        Then a plain forwarder breaks a promise in 40 random mixes of calls with seed 17
