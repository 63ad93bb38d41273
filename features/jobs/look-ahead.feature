Feature: Placement that looks ahead

    # Load of all scenarios: short tasks of different lengths stream in and take each gap before a larger task fits into it.
    Scenario Outline: A large task gets its gap while small ones stream in, whatever their estimates
        Given 4 workers of 16 cores, full of small tasks of 4 cores that are estimated at <estimate> times their run
        When a task of 12 cores comes that runs for 1000 ms
        Then it starts within 1500 ms
        And at least 110 small tasks start within 4000 ms

        Examples:
            | estimate |
            | 0.5      |
            | 1        |
            | 2        |

    Scenario: Without looking ahead, the large task waits until the stream ends
        Given 4 workers of 16 cores, full of small tasks of 4 cores that are estimated at 1 times their run
        And no placement ahead
        When a task of 12 cores comes that runs for 1000 ms
        Then it does not start within 4000 ms

    Scenario Outline: An end is expected by the progress of the attempt, else by its estimate, and past it by its age
        Given an attempt estimated at 1000 ms that has run for <ran> ms and done <percent> percent
        Then it is expected to end in <rest> ms

        Examples:
            | ran  | percent | rest |
            | 100  | 0       | 900  |
            | 400  | 20      | 1600 |
            | 400  | 80      | 100  |
            | 2000 | 10      | 1000 |

    Scenario Outline: Shorter work fills the gap only if it is expected to be gone in time
        Given 1 workers of 16 cores, with a task of 8 cores that ends after 1000 ms, and one of 2 cores
        When a task of 12 cores comes that runs for 1000 ms
        And a task of 4 cores comes 100 ms later that is estimated at <estimate> ms
        Then the later one <starts> within 100 ms
        And the large one starts within 1100 ms

        Examples:
            | estimate | starts         |
            | 300      | starts         |
            | 900      | does not start |

    Scenario: Nothing waits for a gap that never comes
        Given 1 workers of 16 cores, with a task of 8 cores that is estimated at 500 ms and never ends, and one of 2 cores
        When a task of 12 cores comes that runs for 1000 ms
        And a task of 4 cores comes 100 ms later that is estimated at 900 ms
        Then the later one does not start within 100 ms
        But the later one starts within 1500 ms

    Scenario: A gang gathers room on several workers, all of it or none
        Given 6 workers of 16 cores, full of small tasks of 4 cores that are estimated at 1 times their run
        When a gang of 3 tasks of 12 cores comes
        Then it starts within 2000 ms, all members at once

    Scenario: Without looking ahead, the gang waits until the stream ends
        Given 6 workers of 16 cores, full of small tasks of 4 cores that are estimated at 1 times their run
        And no placement ahead
        When a gang of 3 tasks of 12 cores comes
        Then it does not start within 4000 ms

    Scenario: Nothing is kept for a gang that does not fit as a whole within the horizon
        Given 2 workers of 16 cores, with a task of 8 cores that is estimated at 10000 ms and never ends, and one of 2 cores
        When a gang of 2 tasks of 12 cores comes
        And a task of 4 cores comes 100 ms later that is estimated at 900 ms
        Then the later one starts within 100 ms

    # Guards against gangs that room is never kept for, since a worker has shrunk below what it runs.
    Scenario: Cores that are held beyond the room of a shrunk worker do not keep a gang from gathering room
        Given a worker that has shrunk to 4 cores under a task of 28 that serves
        And 2 workers of 16 cores with a task of 12 cores each that is expected to end soon
        Then room is kept on both of them for a gang of 2 tasks of 8 cores

    Scenario: A more urgent queue does not wait for what is kept for others
        Given 1 workers of 16 cores, with a task of 8 cores that ends after 1000 ms, and one of 2 cores
        When a task of 12 cores comes that runs for 1000 ms
        And a task of 4 cores of the urgent queue comes 100 ms later that is estimated at 900 ms
        Then the later one starts within 100 ms

    # Guards against a job that is late because another one, which can wait, found no worker in the same pass.
    Scenario: A filler that is about to be late takes the memory that one of a more urgent queue leaves to others
        Given 1 workers of 16 cores, with a task of 8 cores that ends after 2000 ms, and one of 2 cores
        When a task of the urgent queue comes that needs 12 cores and nearly all memory
        And a filler comes that is estimated at 1500 ms
        And such a filler of the urgent queue comes 1000 ms later
        Then the first filler starts within 1600 ms, and the one of the urgent queue does not

    # Guards against a lasting task that waits for 3 s while a worker has room for it twice over.
    Scenario: A lasting task does not wait for long beside a worker that has room for it twice over
        Given 1 workers of 16 cores, with a task of 8 cores that ends after 2800 ms, and one of 2 cores
        When a task of 12 cores comes that runs for 1000 ms
        And a lasting task of 3 cores comes 100 ms later
        Then the later one starts within 2000 ms

    Scenario: A successor knows of no reservation, and the large task still gets its gap
        Given 4 workers of 16 cores, full of small tasks of 4 cores that are estimated at 1 times their run
        When a task of 12 cores comes that runs for 1000 ms
        And a successor takes over after 200 ms
        Then it starts within 2000 ms
        And each small task has started once

    # The load: 8 workers of 32 cores six sevenths full, four fifths of the work in small tasks of 4 cores and 0.5 s, the rest in
    # large ones of 20 cores and 2 s, with estimates that are off by half either way.
    Scenario: What callers of large and of small jobs get
        Given the same large and small jobs, played for 30 s with and without placement ahead, 3 times
        Then large jobs wait less than half as long with it, and less than half as many of them are late
        And small jobs are as often on time with it as without, and wait 100 ms longer at most

    # The load: lasting tasks take ever more of 16 workers of 37 cores, until small jobs of 2 to 4 cores and large ones of 8 to 12,
    # each of half a second, exceed what is left. Someone is late then, and room that is kept idle would make it more.
    Scenario: Where lasting tasks leave too little room for all, nobody loses by placement ahead
        Given small and large jobs beside a flood of lasting tasks, played for 20 s with and without placement ahead, 3 times
        Then of the large jobs, as of the small ones, at most 2 percent more are late with it
