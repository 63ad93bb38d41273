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

    Scenario Outline: Serving tasks keep their objectives beside a stream of batch jobs whose effects have to be learnt
        Given the calm day's load of Taruhama, drawn from seed <seed>
        When the policy of submitted jobs places and paces the batch work for 34 s
        Then serving tasks were within their objective for at least 0.97 of their time
        And the completed batch work is at least 0.9 of that of a policy which knows all effects and loads

        Examples:
            | seed |
            | 1    |
            | 2    |
            | 3    |

    Scenario: A filler starts slowly beside an image with which it has not been seen yet
        Given a worker of 16 cores with a serving task at half of its load
        Then a filler of 3 cores starts there below full pace
        And another one of the same image has to wait

    Scenario: A filler whose effect is known to be small starts at full pace
        Given a worker of 16 cores with a serving task at half of its load
        When fillers of 3 cores that take 0.02 of its tolerance have been reported for 4 s
        Then a filler of 3 cores starts there at full pace

    Scenario: A filler that is known to be harmful is not placed
        Given a worker of 16 cores with a serving task at half of its load
        When fillers of 3 cores that take 0.9 of its tolerance have been reported for 4 s
        Then a filler of 3 cores is not placed there

    Scenario: The load of a serving step is learnt on one worker and expected on another
        Given a serving step on two workers, of which only the first reports
        When the load reported there rises from 0.3 to 0.6 within 5 s
        Then the load expected on the second worker is between 0.55 and 0.65
