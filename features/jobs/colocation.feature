Feature: Batch work beside tasks that serve, played as a load

    Scenario Outline: Fillers get most of the cores that tasks which serve leave unused
        Given a worker of 32 cores on which tasks that serve keep <kept> cores and use 0.42 of them, give or take a half
        When fillers of 3.5 cores and 2.2 s are handed in for 30 s, more than there is room for
        Then the fillers that were done are at least 0.8 of what the unused cores can carry
        And a filler took at most 2 times its 2.2 s, once started

        Examples:
            | kept |
            | 27   |
            | 20   |
            | 12   |
