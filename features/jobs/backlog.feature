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

    # Guards against accepted jobs that stand still after the room of the pool has shrunk for a while: 32 tasks have cores of their own (LOST).
    Scenario: No job stands still for 3 s after workers shrink for a while and leave a backlog
        Given 4 workers of 32 cores whose tasks slow each other down
        When a job of 16 fillers of 4 cores that each run for 2200 ms is handed in each 1200 ms
        And 3 of the workers shrink from 32 to 4 cores from 10 to 80 seconds, which leaves more than 32 jobs late
        Then none of them has nothing running for 3 s on end in the 12 seconds after that

    # Guards against jobs that wait for whole cores where others have reserved some on each worker (LOST).
    Scenario: No job stands still for 3 s while a backlog of late fillers drains beside tasks that reserve cores
        Given 12 workers of 32 cores whose tasks slow each other down
        And a lasting task of 12 cores on each of them
        And 150 jobs of 10 fillers of 5 cores that each run for 2200 ms are handed in at once
        When 12 seconds have passed, after which none of them can be on time
        Then none of them has nothing running for 3 s on end in the 20 seconds after that

    # Guards against jobs of one queue that stand still as long as one of higher priority has late work (LOST).
    Scenario: No job of either of two queues stands still for 3 s while their backlog of late fillers drains
        Given 4 workers of 32 cores
        And a lasting task of 1 cores on each of them
        And 8 jobs of 80 fillers of 4 cores that each run for 2200 ms are handed in at once in each of two queues of different priority
        When 12 seconds have passed, after which none of them can be on time
        Then none of them has nothing running for 3 s on end in the 20 seconds after that

    Scenario Outline: The first task of a late job that has stood still for <milliseconds> ms goes <place> <other> of a queue of higher priority
        Given a late job that has stood still for <milliseconds> ms in a <pool> pool
        And <other> in a queue of higher priority
        Then its first task goes <place> that, and its second one after that

        Examples:
            | milliseconds | pool       | other                                              | place  |
            | 1600         | half empty | a late job of which something runs                 | before |
            | 1600         | half empty | a late job that has stood still for 100 ms         | before |
            | 1600         | half empty | a late job that has stood still for 2000 ms        | after  |
            | 1400         | half empty | a late job of which something runs                 | after  |
            | 1600         | full       | a late job of which something runs                 | after  |
            | 1600         | half empty | a job that can be on time                          | after  |
            | 1600         | half empty | a lasting task that has waited 5000 ms             | after  |

    Scenario Outline: A late job that has stood still for 1600 ms delays no <other> of its own queue, whatever waits in one of higher priority
        Given a late job that has stood still for 1600 ms in a half empty pool
        And a late job of which something runs in a queue of higher priority
        And <other> in its own queue
        Then its first task goes after both

        Examples:
            | other                                  |
            | a job that can be on time              |
            | a lasting task that has waited 5000 ms |

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
            | others                                                   | milliseconds | outcome           |
            | 8 fillers of 4 cores                                     | 100          | does not start on |
            | 8 fillers of 4 cores                                     | 600          | starts on         |
            | 18 fillers of 4 cores                                    | 600          | starts on         |
            | 20 fillers of 4 cores                                    | 600          | does not start on |
            | 21 fillers of 4 cores                                    | 0            | starts on         |
            | 52 fillers of 4 cores                                    | 600          | starts on         |
            | 53 fillers of 4 cores                                    | 1000         | does not start on |
            | 8 fillers of 4 cores, and a task of 2 cores              | 600          | does not start on |
            | 8 fillers of 4 cores, and a task of 2 cores              | 1600         | starts on         |
            | 8 fillers of 4 cores, and a task that serves of 16 cores | 600          | does not start on |

    Scenario Outline: A filler of a late job of which nothing runs <outcome> a worker that runs <others>
        Given a worker of 32 cores that runs <others>
        Then a filler of 4 cores whose late job has stood still for <milliseconds> ms <outcome> it

        Examples:
            | others                                                   | milliseconds | outcome           |
            | 8 fillers of 4 cores                                     | 0            | starts on         |
            | 52 fillers of 4 cores                                    | 0            | starts on         |
            | 53 fillers of 4 cores                                    | 1000         | does not start on |
            | 8 fillers of 4 cores, and a task of 2 cores              | 0            | starts on         |
            | 47 fillers of 4 cores, and a task of 3 cores             | 0            | starts on         |
            | 48 fillers of 4 cores, and a task of 3 cores             | 1000         | does not start on |
            | 23 fillers of 4 cores, and a task of 17 cores            | 0            | starts on         |
            | 25 fillers of 4 cores, and a task of 17 cores            | 1600         | does not start on |
            | 8 fillers of 4 cores, and a task of 18 cores             | 1600         | does not start on |
            | 8 fillers of 4 cores, and a task that serves of 16 cores | 1000         | does not start on |

    # Guards against a job that stands still for 12 s behind an order that its worker does not answer (LOST).
    Scenario Outline: A job whose only attempt was ordered <milliseconds> ms ago and <state> <outcome> as standing still
        Given a late job of a half empty pool whose only attempt was ordered <milliseconds> ms ago and <state>
        Then the job <outcome> as standing still, and a filler of it <start> where 8 fillers use all cores

        Examples:
            | milliseconds | state                              | outcome        | start          |
            | 6000         | is not confirmed                   | counts         | starts         |
            | 6000         | is stopped before it was confirmed | counts         | starts         |
            | 6000         | runs                               | does not count | does not start |
            | 6000         | is stopped while it runs           | does not count | does not start |
            | 900          | is not confirmed                   | does not count | does not start |

    Scenario: A job of which one attempt is not confirmed and another runs does not stand still
        Given a late job of a half empty pool whose only attempt was ordered 6000 ms ago and is not confirmed
        When another task of it runs
        Then the job does not count as standing still, and a filler of it does not start where 8 fillers use all cores

    # Guards against a job that counts as having run until an attempt of it that never began was given up (LOST).
    Scenario: A job has stood still since before an attempt that no worker has confirmed
        Given a late job of a half empty pool whose only attempt was ordered 12000 ms ago and is not confirmed
        When the attempt is given up
        Then the job has stood still for 12000 ms

    Scenario: Cores that fillers ask for do not make a pool count as full
        Given a worker of 32 cores with a task that serves on 4 of them, beside which all fillers are known to do harm
        And a second worker of 32 cores that runs 8 fillers of 4 cores
        Then a filler of 3 cores whose job has waited 4000 ms is placed there

    # Guards against late jobs that stand still in a half empty pool since one of its workers has shrunk below what it runs (LOST).
    Scenario: Cores that are held beyond the room of a shrunk worker do not make a pool count as full
        Given a worker that has shrunk to 8 cores under a task of 28
        And a second worker of 32 cores that runs 8 fillers of 4 cores
        Then a filler of 4 cores whose late job has stood still for 0 ms starts on it
