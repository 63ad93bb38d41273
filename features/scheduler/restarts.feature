Feature: Replicas that fail again and again are started less and less often

    Scenario: The replacement of a replica that fails waits longer each time, and says why
        Given data centres "levi" with 1 workers and "rovaniemi" with 1 workers
        And every attempt of "beacon-check" fails
        And a scheduler "entry-1" in "levi" that backs off from 1000 milliseconds
        When the only rule is "beacon-check" with 1 replica
        Then explain says of "beacon-check/30000" that it "waits 4 s after its replica failed 3 times in a row"
        And 3 attempts of "beacon-check" were started in all
