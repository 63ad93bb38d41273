Feature: The rate limit of the store stand-in

    # A rate so low that even a machine on which 300 writes take most of a minute exceeds it.
    Scenario: Calls beyond the rate are refused without effect
        Given a store stand-in with the settings '{"writesPerSecond": 5, "historyEvents": 20}'
        And 300 writes to "w/1"
        Then some writes have failed as "refused" and the others count 5 or more
