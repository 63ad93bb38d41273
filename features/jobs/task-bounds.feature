Feature: What a task whose turn has come waits for has an end

    # Guards against a suspect that is never started (LOST): orders arrive at each worker more often than it is quiet.
    Scenario Outline: A suspect of a crash starts within 3 seconds though orders go on to all workers: <suspect>
        Given a pool of 4 workers of 8 cores, and <rate> short tasks of one core arrive each second
        When <suspect> waits under which a worker has crashed
        Then it has started after at most 3000 ms
        And short tasks have started on each worker meanwhile

        Examples:
            | suspect          | rate |
            | a short task     | 80   |
            | a large task     | 80   |
            | a lasting task   | 80   |
            | a gang           | 76   |

    Scenario: A filler that is suspected of a crash starts within 3 seconds though fillers go on on all workers
        Given a pool of 4 workers of 8 cores, and 80 fillers of one core arrive each second
        When a filler of 4 cores waits under which a worker has crashed
        Then it has started after at most 3000 ms

    # Guards against room that is kept for suspects where it cannot come, from all others and from further suspects (LOST).
    Scenario: A suspect that fits beside no lasting task keeps neither room from others nor their turn from other suspects
        Given a pool of 4 workers of 32 cores, and 110 short tasks of one core arrive each second
        And 2 tasks of 24 cores under which workers have crashed wait beside a lasting task of 20 cores on each worker
        When a short task waits under which a worker has crashed
        Then it has started after at most 3000 ms
        And 95 of 100 short tasks have ended

    # Guards against a lasting task that finds no worker as long as any are kept for suspects, one after the other (LOST).
    Scenario: A lasting task starts soon after its limit of 4 seconds though workers are kept for many suspects of crashes
        Given a pool of 2 workers of 32 cores, and 40 short tasks of one core arrive each second
        And 80 tasks of 1 cores under which workers have crashed have waited for 2 seconds
        When a lasting task of 4 cores waits
        Then it has started after at most 4500 ms

    # Guards against a task that waits as long as its worker answers reports and no orders (LOST); not earlier, as the start may come (TWICE).
    Scenario: A start that is not carried out ends 12 seconds after its order though no stop is answered
        Given a start and its stops that a worker leaves unanswered, while it reports each second
        When 11 seconds have passed
        Then the attempt still counts as alive
        When 3 seconds have passed
        Then the attempt is lost, and its task is ready

    # Guards against an inherited job that is never begun (LOST): new jobs take each bit of memory that others give back.
    Scenario: An inherited job that waits for memory is opened though callers go on handing in jobs
        Given an owner that has no memory for the largest of its 4 inherited jobs
        When a caller hands in a new job whenever there is memory for it, and the oldest job ends each second
        Then the largest inherited job is opened before 4 more jobs have ended

    # Guards against a successor with a lower limit, or one that counts more than the owner before it: nothing would ever be opened.
    Scenario: An inherited job is opened where no other job goes on that could give memory back
        Given an owner whose memory is taken by the definitions of its 4 inherited jobs
        Then one of them is opened
        When it has ended
        Then one of the others is opened

    # Guards against new jobs that are refused for memory which nothing gives back.
    Scenario: An inherited job is opened where only jobs go on that have no end
        Given an owner with an inherited job that lasts, and memory for nine tenths of another one besides
        Then the other one is opened

    # Guards against room that is kept for good (LOST): what a lasting task holds does not become free.
    Scenario: Room is not kept for a lasting task that waits for what another lasting task holds
        Given a pool of one worker of 8 cores, a lasting task of 5 cores that runs and another that waits for 6 seconds
        When a short task of 2 cores is handed in
        Then it has started after at most 500 ms

    Scenario: Room is kept for a lasting task that waits for what tasks hold that end
        Given a pool of 2 workers of 8 cores, and 40 short tasks of one core arrive each second
        When a lasting task of 5 cores waits
        Then it has started after at most 7000 ms

    # Guards against a task that waits until the clock of a worker's present life has come as far as that of the former one (LOST).
    Scenario: A stop that the former life of a worker has confirmed is repeated at the present one
        Given a start without an answer, and a stop that is on its way
        When the worker's former life has confirmed the stop after the first report of the next
        Then the attempt is lost with the next report of the present life, and its task is ready

    # Guards against a large task for which no room is gathered (LOST), as steps that find none anywhere take all places of the search.
    Scenario: Room is gathered for a large task beside 40 gangs that the pool cannot hold
        Given a pool of 4 workers of 8 cores, and 70 short tasks of one core arrive each second
        When 40 gangs wait that need more than the pool has, and then a large task of 7 cores
        Then it has started after at most 6000 ms

    Scenario: A task that may have crashed its worker waits for the review for at most 300 ms
        Given a worker that has crashed under a task that was started shortly before
        Then the task is under review until 300 ms have passed, and not after it
