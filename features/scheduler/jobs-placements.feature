Feature: Placement rules decide which cells share a rule's work

    Scenario: Work runs in the data centres that an allow line names, and elsewhere once the line is gone
        Given data centres "levi" with 2 workers and "rovaniemi" with 2 workers
        And a scheduler "entry-1" in "levi"
        When "season-prep" with 6 tasks is allowed in "rovaniemi" only
        Then 6 tasks of "season-prep" run in "rovaniemi" and 0 in "levi"
        When the allow line has gone and "harvest" with 12 tasks is added
        Then tasks of "harvest" run in both data centres

    Scenario: Work keeps out of data centres that a deny line names
        Given data centres "levi" with 2 workers and "rovaniemi" with 2 workers
        And a scheduler "entry-1" in "levi"
        When "season-prep" with 6 tasks is denied in "rovaniemi"
        Then 6 tasks of "season-prep" run in "levi" and 0 in "rovaniemi"
