Feature: Decisions on submitted jobs

    # A lasting task keeps what it gets, so that scarce room goes first to short tasks that can still be on time.
    Scenario Outline: What a lasting task goes before depends on how long it has waited, on the room, and on whether it gave way
        Given ready tasks: a short one that is <short>, and a lasting one that has waited <waited> ms
        And room that is <room> for the lasting one, which <history>
        Then the <first> one gets its turn first

        Examples:
            | short        | waited | room   | history           | first   |
            | due soon     | 5000   | scarce | never ran         | short   |
            | due soon     | 5000   | ample  | never ran         | lasting |
            | due soon     | 5000   | scarce | gave way          | lasting |
            | due soon     | 3000   | scarce | gave way          | short   |
            | due soon     | 100    | ample  | never ran         | short   |
            | late         | 5000   | scarce | never ran         | lasting |
            | far too late | 5000   | scarce | never ran         | lasting |
            | late         | 100    | scarce | never ran         | short   |

    Scenario: A lasting task that has waited is not starved by late work, however much of it there is
        Given 200 ready tasks of late jobs, and a lasting one of another job that has waited 5000 ms
        Then the lasting one gets its turn first

    Scenario: A lasting task that has just become ready lets short ones go first
        Given ready tasks: a short one that is due soon, and a lasting one that has waited 100 ms
        Then the short one gets its turn first

    Scenario: A job that can still be on time goes before one that is late already
        Given ready tasks of a job that is late by 10000 ms and of one that is due in 1500 ms
        Then the one that can be on time gets its turn first

    Scenario: Room is kept for a lasting task, so that short ones cannot fill it for ever
        Given two workers of 8 cores with 5 and 3 cores free
        And a lasting task of 6 cores has reserved room
        Then a short task of 2 cores is placed on the worker without the reservation
        And a short task of 4 cores is not placed at all
        And the lasting task is placed once 6 cores are free

    Scenario: Short tasks always fill the room where nothing is kept, which is why it has to be
        Given two workers of 8 cores with 5 and 3 cores free
        Then a short task of 4 cores is placed on the first worker

    Scenario: After a takeover, tasks of earlier jobs wait for a worker that has not answered
        Given a takeover with 2 workers in use and a predecessor that may live
        When 1 of the workers has answered
        Then a task of an earlier job may not start after 10000 ms
        And a task of a later job may start after 0 ms
        And a task of an earlier job may start after 17000 ms

    Scenario: A gang waits for a worker that has not answered, though a member of it was seen running
        Given a takeover with 2 workers in use and a predecessor that may live
        When 1 of the workers has answered
        Then a task of an earlier job that was seen running may start after 0 ms
        But a member of a gang that was seen running may not start after 0 ms

    # Guards against tasks that run again because their ends were not yet listed when their worker was given up.
    Scenario: A worker that still reports ends is not given up after a takeover
        Given a takeover with 3 workers in use and a predecessor that may live
        When 60000 ms have passed, while "worker-1" still reports ends
        Then a task of an earlier job may not start while "worker-1" still reports ends

    Scenario: The wait ends one lease after the predecessor is known to be gone
        Given a takeover with 2 workers in use and a predecessor that may live
        When 1 of the workers has answered
        And the predecessor is found to be gone after 1000 ms
        Then a task of an earlier job may not start after 5000 ms
        And a task of an earlier job may start after 6000 ms

    Scenario: Commits that failed do not turn round who is in use
        Given a commit that takes worker "w" off, and fails
        When worker "w" is recorded again before the next commit
        Then the ledger says that "w" is in use

    Scenario: Commits that failed do not keep a worker in use that was taken off after
        Given a commit that records worker "w", and fails
        When worker "w" is taken off before the next commit
        Then the ledger says that "w" is not in use

    Scenario: A worker that fails tasks of different jobs gets none for a while, longer each time
        Given a worker of which nothing is known
        When tasks of jobs "a" and "a" fail on it
        Then it is not in quarantine
        When tasks of jobs "a" and "b" fail on it
        Then it is in quarantine for 1500 ms
        When tasks of jobs "c" and "d" fail on it after that
        Then it is in quarantine for 3000 ms

    Scenario: A task that stands still is found, one that is paced down is not
        Given a task that has shown no progress for 2500 ms
        Then it counts as standing still
        But it does not when it was told to stand still

    # Guards against tasks that are stopped as stalled again and again, though a percent of them takes longer than that (LOST).
    Scenario Outline: A task that takes <seconds> s beside <others> others that share its cores stands still after <limit> ms without progress
        Given a task that usually takes <seconds> s, on a worker that runs <others> other fillers of all its cores
        Then after <before> ms without progress it passes as working
        But after <limit> ms without progress it counts as standing still

        Examples:
            | seconds | others | before | limit |
            | 10      | 0      | 1900   | 2000  |
            | 10      | 5      | 1900   | 2000  |
            | 60      | 5      | 10700  | 10800 |
            | 600     | 0      | 17900  | 18000 |

    Scenario: A filler gives way within a second where a task that serves nears its objective
        Given a worker on which a filler presses on a task that serves, at 1.2 of its objective
        Then the filler is told to slow down
        And all fillers are told to stop once it has been over for 1400 ms

    Scenario: A second copy of a slow task is started only where the caller allows it
        Given a task that takes 4 times as long as its like
        Then a copy is wanted where copies are allowed, and none where they are not

    Scenario: A filler that is expected to do harm everywhere is started all the same where its job starves in a half empty pool
        Given a worker of 32 cores with a task that serves on 4 of them, beside which all fillers are known to do harm
        Then a filler of 3 cores whose job has waited 1000 ms is not placed there
        And a filler of 3 cores whose job has waited 4000 ms is placed there
        But not once 14 more cores are in use

    Scenario: A filler that a former owner has stopped is not taken for one that stands still
        Given a filler of 4 cores that a former owner has started, and that uses 0 cores
        When it has shown no progress for 2500 ms
        Then it does not count as standing still
        And it is told to go on where no task that serves is beside it

    Scenario: A filler of a former owner that works without progress counts as standing still
        Given a filler of 4 cores that a former owner has started, and that uses 4 cores
        When it has shown no progress for 2500 ms
        Then it counts as standing still

    Scenario Outline: An owner that cannot commit is replaced only by an instance for which the store answers faster
        Given an owner that has been unable to commit for <failing> ms
        When the store answers another instance within <answer> ms
        Then that instance <replaces> the owner

        Examples:
            | failing | answer | replaces         |
            | 800     | 12     | replaces         |
            | 800     | 390    | replaces         |
            | 800     | 500    | does not replace |
            | 2000    | 1500   | does not replace |
