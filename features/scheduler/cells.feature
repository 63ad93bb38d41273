Feature: Owners of cells run what the rules ask for

    Scenario: Replicas and batch tasks run, and end with their rules
        Given data centres "levi" with 2 workers and "rovaniemi" with 3 workers
        And a scheduler "entry-1" in "levi"
        When the rules are "beacon-check" with 4 replicas and "season-prep" with 3 tasks
        Then 4 replicas of "beacon-check" and 3 tasks of "season-prep" run
        And replicas of "beacon-check" run in both data centres
        When there are no rules
        Then nothing runs
        And no task has run in two places at once

    Scenario: A finished batch run is not run again by a successor
        Given data centres "levi" with 2 workers and "rovaniemi" with 2 workers
        And workers do a minute's work in a moment
        And a scheduler "entry-1" in "levi"
        When the rules are "beacon-check" with 2 replicas and "season-prep" with 5 tasks
        Then 5 tasks of "season-prep" have finished
        When the scheduler "entry-1" ends without a word and "entry-2" in "levi" starts
        Then "entry-2" owns all cells
        And 5 attempts of "season-prep" were started in all

    Scenario: A worker that leaves in a store outage gets no new work
        Given data centres "levi" with 2 workers and "rovaniemi" with 1 workers
        And a scheduler "entry-1" in "levi"
        When the rules are "beacon-check" with 4 replicas and "season-prep" with 1 tasks
        Then 4 replicas of "beacon-check" and 1 tasks of "season-prep" run
        When the store hangs and the worker "levi-1" is leaving
        Then no route leads to "levi-1" but as leaving
        When the store is back with 6 replicas of "beacon-check" asked for meanwhile
        Then 6 replicas of "beacon-check" run, none of them on "levi-1"
        And nothing was started on "levi-1" after it began to leave

    Scenario: A wave of cancellations is drained in commits that fit, and an urgent replica starts meanwhile
        Given data centres "levi" with 2 workers and "rovaniemi" with 1 workers
        And a scheduler "entry-1" in "levi"
        When the rule "season-prep" with 6000 tasks is applied
        Then all 6000 tasks are in the ledgers
        When the rule is replaced by an urgent service "beacon-check" with 2 replicas
        Then 2 replicas of "beacon-check" run
        And nothing of "season-prep" runs or waits
        And the store has refused no write for its size

    Scenario: A scheduler whose liveness record was taken away announces itself again
        Given data centres "levi" with 2 workers and "rovaniemi" with 1 workers
        And a scheduler "entry-1" in "levi"
        When the rules are "beacon-check" with 2 replicas and "season-prep" with 1 tasks
        Then 2 replicas of "beacon-check" and 1 tasks of "season-prep" run
        When the liveness record of "entry-1" is deleted
        Then the store has the liveness record of "entry-1" again
