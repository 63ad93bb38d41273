Feature: Who gets room that is too scarce for all

    # Lasting tasks of 6 cores fill workers of 32, and jobs of five tasks of 4 cores and half a second come every 150 ms.
    Scenario: Short jobs are on time beside lasting tasks that hold nearly all of a pool, and these are at work nearly all the time
        Given 40 workers of 32 cores, each with 5 lasting tasks of 6 cores, of jobs that allow 1 of 10 to be away
        When a job of 5 tasks of 4 cores and 500 ms comes each 150 ms for 12000 ms
        Then 80 % of these jobs or more are on time
        And the lasting tasks are at work for 93 % of the time or more
        And never more of a lasting job is away than it allows
        And no lasting task is stopped twice within 10000 ms
        And each lasting task that gave way is at work again 15000 ms later

    Scenario: Without any stops the same load finds only crumbs
        Given 40 workers of 32 cores, each with 5 lasting tasks of 6 cores, of jobs that allow 1 of 10 to be away
        And nothing may give way
        When a job of 5 tasks of 4 cores and 500 ms comes each 150 ms for 12000 ms
        Then 10 % of these jobs or fewer are on time

    Scenario: Where there is room for all, nothing gives way
        Given 40 workers of 32 cores, each with 2 lasting tasks of 6 cores, of jobs that allow 1 of 10 to be away
        When a job of 5 tasks of 4 cores and 500 ms comes each 150 ms for 3000 ms
        Then 100 % of these jobs are on time
        And nothing has been stopped

    Scenario: An owner that takes over amid the load does not stop again what has just come back
        Given 40 workers of 32 cores, each with 5 lasting tasks of 6 cores, of jobs that allow 1 of 10 to be away
        When a job of 5 tasks of 4 cores and 500 ms comes each 150 ms for 3000 ms
        And a new owner takes over, and finds the attempts by the workers' reports
        And a job of 5 tasks of 4 cores and 500 ms comes each 150 ms for 8000 ms
        Then never more of a lasting job is away than it allows
        And no lasting task is stopped twice within 10000 ms

    Scenario Outline: Which lasting task gives way to a short one
        Given a worker of 32 cores with a lasting task of <lasting> cores that has worked <worked> ms, and <other> cores of others
        And <away> other tasks of its step are away, of <allowed> that may be
        When a short task of 8 cores waits that was submitted <age> ms ago
        Then it <gives way>

        Examples:
            | lasting | worked | other | away | allowed | age   | gives way          |
            | 10      | 20000  | 20    | 0    | 1       | 100   | gives way          |
            | 10      | 20000  | 20    | 1    | 1       | 100   | does not give way  |
            | 10      | 20000  | 20    | 1    | 2       | 100   | gives way          |
            | 10      | 20000  | 20    | 0    | 0       | 100   | does not give way  |
            | 10      | 5000   | 20    | 0    | 1       | 100   | does not give way  |
            | 10      | 20000  | 20    | 0    | 1       | 1200  | does not give way  |
            | 10      | 20000  | 20    | 0    | 1       | 20000 | gives way          |
            | 4       | 20000  | 26    | 0    | 1       | 100   | does not give way  |

    Scenario: A lasting task stays where another one of its step runs on a worker that does not answer
        Given a worker of 32 cores with a lasting task of 10 cores that has worked 20000 ms, and 20 cores of others
        And the worker of another task of its step does not answer
        When a short task of 8 cores waits that was submitted 100 ms ago
        Then it does not give way

    Scenario: A job that is late gets no room from a lasting task while another lasting one waits
        Given a worker of 32 cores with a lasting task of 10 cores that has worked 20000 ms, and 20 cores of others
        And a lasting task of 8 cores has waited 6000 ms
        When a short task of 8 cores waits that was submitted 20000 ms ago
        Then it does not give way

    # Guards against lasting tasks that are stopped one after the other while none of them finds room again (LOST).
    Scenario: No lasting task gives way while one that gave way has waited long
        Given a worker of 32 cores with a lasting task of 10 cores that has worked 20000 ms, and 20 cores of others
        And 60 lasting tasks of another job have just begun their work on workers of their own
        And a lasting task of 40 cores that gave way has waited 6000 ms
        When a short task of 8 cores waits that was submitted 100 ms ago
        Then it does not give way

    Scenario: What becomes free soon is enough, so that nothing is stopped
        Given a worker of 32 cores with a lasting task of 10 cores that has worked 20000 ms, and 20 cores of others
        And a short task of 8 cores on another worker ends in 200 ms
        When a short task of 8 cores waits that was submitted 100 ms ago
        Then it does not give way

    Scenario Outline: Which batch work gives way to a queue of higher priority
        Given a worker of 32 cores with <batch> of 28 cores that has worked <worked> ms, in a queue of priority <priority>
        When a short task of 8 cores waits that was submitted 100 ms ago
        Then it <gives way>

        Examples:
            | batch                                | worked | priority | gives way         |
            | a task that saves its progress       | 5000   | 2        | gives way         |
            | a task that saves its progress       | 5000   | 0        | does not give way |
            | a task that does not                 | 200    | 2        | gives way         |
            | a task that does not                 | 5000   | 2        | does not give way |
            | a gang's member                      | 200    | 2        | does not give way |
            | a filler                             | 200    | 2        | does not give way |
            | a filler with nearly all memory      | 200    | 2        | gives way         |
            | a task that was started 4 times      | 200    | 2        | does not give way |

    Scenario: Work that gave way goes on from its checkpoint, once, though its end is reported twice
        Given a worker of 32 cores with a task that saves its progress of 28 cores that has worked 5000 ms, in a queue of priority 2
        When a short task of 8 cores waits that was submitted 100 ms ago
        Then it gives way
        When its end is reported with checkpoint "half", and again after it was started anew
        Then it was started once more, from checkpoint "half"

    # Where lasting tasks hold little, what ends soon makes room for all, and a lasting task that has waited goes first.
    Scenario Outline: What takes the last room depends on what holds the rest
        Given a worker of 32 cores of which a <holder> task holds 28
        And a lasting task of 4 cores has waited 5000 ms
        When a short task of 4 cores comes that was submitted 100 ms ago, and room is given
        Then the <first> one starts, and nothing else

        Examples:
            | holder  | first   |
            | lasting | short   |
            | short   | lasting |
