Feature: Slices of quotas follow the work that waits

    Scenario: A team's whole quota can be used in one data centre, and comes back to the other
        Given data centres "levi" with 2 workers and "rovaniemi" with 2 workers
        And schedulers in both data centres
        When the team may hold 8 cores, and "season-prep" waits with 6 tasks of 2 cores in "rovaniemi" only
        Then 4 tasks of "season-prep" run
        When "season-prep" ends and "harvest" waits with 6 tasks of 2 cores in "levi" only
        Then 4 tasks of "harvest" run
        And at no time more than 4 tasks ran

    Scenario: The sum of slices stays below the quota while work comes and goes and an owner ends without a word
        Given data centres "levi" with 2 workers and "rovaniemi" with 2 workers
        And workers do a minute's work in a moment
        And schedulers in both data centres
        When the team may hold 8 cores, and work of 2 cores comes and goes in both data centres
        And the scheduler "entry-1" ends without a word while work comes and goes
        Then all of that work has run
        And at no time more than 4 tasks ran

    Scenario: Any order of raising and lowering keeps shares within the quota and above what is held
        Then shares after 500 arbitrary series of needs of 4 cells never exceed the quota nor fall below what is held
