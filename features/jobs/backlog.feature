Feature: A backlog of late jobs drains without leaving any of them standing still

    # Guards against an accepted job that could go on and does not while others use all of the room (LOST).
    Scenario: No job stands still for 3 s while a backlog of late fillers drains
        Given 4 workers of 32 cores
        And 60 jobs of 16 fillers of 4 cores that each run for 2200 ms are handed in at once
        When 12 seconds have passed, after which none of them can be on time
        Then none of them has nothing running for 3 s on end in the 20 seconds after that

    # Guards against jobs that go on task by task, and are found between two of them whenever somebody looks (LOST).
    Scenario: No job is found between two of its tasks at three looks 1500 ms apart
        Given 4 workers of 32 cores whose tasks slow each other down
        And 120 jobs of 40 fillers of 4 cores that each run for 400 ms are handed in at once
        When 12 seconds have passed, after which none of them can be on time
        Then none of them runs nothing at each of three looks 1500 ms apart in the 20 seconds after that

    # Guards against jobs that are late because the fillers of late ones keep them from all workers.
    Scenario: Fillers that can be on time are so while late ones share the cores of all workers
        Given 4 workers of 32 cores whose tasks slow each other down
        And 100 jobs of 40 fillers of 4 cores that each run for 400 ms are handed in at once
        When 12 seconds have passed, after which none of them can be on time
        And 20 jobs of a filler of 2 cores that runs for 400 ms are handed in, one each 500 ms
        Then each of these has ended within 1300 ms, when it is due

    Scenario: In a pool that is mostly reserved, a backlog drains in order of age
        Given 4 workers of 32 cores
        And a lasting task of 24 cores on each of them
        And 12 jobs of 5 fillers of 4 cores that each run for 2200 ms are handed in at once
        When 9 seconds have passed, after which none of them can be on time
        Then the job that goes on is the oldest one

    Scenario: Of late jobs that stand still, the one that has done so longest gets its turn first
        Given late jobs of a half empty pool that stand still for 100 ms, 900 ms and 400 ms, and one that does not
        Then their first tasks get their turns in the order of 900 ms, 400 ms and 100 ms, before any second one

    Scenario: A job that can still be on time goes before those that stand still
        Given late jobs of a half empty pool that stand still for 100 ms, 900 ms and 400 ms, and one that is due in 1500 ms
        Then the one that can be on time gets its turn before them

    Scenario Outline: A filler whose job stands still <outcome> a worker that runs <others>
        Given a worker of 32 cores that runs <others>
        Then a filler of 4 cores whose job has stood still for <milliseconds> ms <outcome> it

        Examples:
            | others                             | milliseconds | outcome           |
            | 8 fillers of 4 cores               | 100          | does not start on |
            | 8 fillers of 4 cores               | 600          | starts on         |
            | 18 fillers of 4 cores              | 600          | starts on         |
            | 20 fillers of 4 cores              | 600          | does not start on |
            | 21 fillers of 4 cores              | 0            | starts on         |
            | 52 fillers of 4 cores              | 600          | starts on         |
            | 53 fillers of 4 cores              | 1000         | does not start on |
            | 8 fillers of 4 cores, and a task of 2 cores | 600 | does not start on |

    Scenario Outline: A filler of a late job of which nothing runs <outcome> a worker that runs <others>
        Given a worker of 32 cores that runs <others>
        Then a filler of 4 cores whose late job has stood still for <milliseconds> ms <outcome> it

        Examples:
            | others                                      | milliseconds | outcome           |
            | 8 fillers of 4 cores                        | 0            | starts on         |
            | 52 fillers of 4 cores                       | 0            | starts on         |
            | 53 fillers of 4 cores                       | 1000         | does not start on |
            | 8 fillers of 4 cores, and a task of 2 cores | 0            | does not start on |

    Scenario: Cores that fillers ask for do not make a pool count as full
        Given a worker of 32 cores with a task that serves on 4 of them, beside which all fillers are known to do harm
        And a second worker of 32 cores that runs 8 fillers of 4 cores
        Then a filler of 3 cores whose job has waited 4000 ms is placed there
