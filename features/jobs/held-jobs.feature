Feature: Memory of the jobs that an owner holds

    # Guards against owners that end one after the other: each task of a job was an object, whether it could start or not.
    Scenario: Tasks that wait take no memory, except the next ones of each step
        When a job of 6 steps of 100000 tasks is accepted
        Then at most 400 of its tasks are open

    Scenario Outline: All tasks of a wide step run once, whatever order they end in
        Given an accepted job of 2 steps of <tasks> tasks, the second after the first
        When the ready tasks run, <together> at a time, and end in random order of seed <seed>
        Then each of its <total> tasks has run once, and the job is completed
        And none of its tasks is open

        Examples:
            | tasks | together | seed | total |
            | 64    | 10       | 1    | 128   |
            | 65    | 70       | 2    | 130   |
            | 1000  | 33       | 3    | 2000  |

    # Guards against ledgers that grow by each task that is done.
    Scenario: A successor goes on with the tasks of a wide step that are not done
        Given an accepted job of 2 steps of 100000 tasks, the second after the first
        When 1500 of its tasks have run, 40 at a time, in random order of seed 4
        Then a snapshot of the job has less than 40000 bytes
        And a successor that reads it starts none of them again

    Scenario: A job for which there is no memory is refused before it is stored
        Given an owner with 1000000 bytes for its jobs, which holds as many jobs of 20 tasks as it can
        When a caller submits another job
        Then it is refused with "there is no memory for another job now", and nothing of it is to be committed
        And a job that is known already is accepted
        And an unknown job cannot be cancelled, which has no effect
        When one of the jobs has ended and been released
        Then the job is accepted

    Scenario Outline: A job that cannot be held in any case is refused before it is stored
        Given an owner with 1000000 bytes for its jobs, which holds no job
        When a caller submits <job>
        Then it is refused with "<reason>", and nothing of it is to be committed

        Examples:
            | job                         | reason                                        |
            | a gang of 100000 tasks      | the job needs more memory than a cell has     |
            | a schedule of 100000 times  | the job needs more memory than a cell has     |
            | a job of 3000 steps         | the job has more steps than the ledger can store |

    # Guards against a job that ends each owner which reads the ledger, so that restarts do not help.
    Scenario: A ledger with more jobs than there is memory for is worked off bit by bit
        Given a ledger with 60 jobs of 20 tasks
        When an owner with 400000 bytes for its jobs takes over
        Then it counts at most 400000 bytes, and some of the jobs wait for memory
        When the ready tasks run, 30 at a time, and end in random order of seed 5
        Then all 60 jobs are completed
