Feature: The checker of the fault runs catches each violation and counts the occasions for it

    Scenario: Work within a worker's size passes, one slot more is caught
        Given the workers wrote
            | event           | at | worker | taskId | slots |
            | worker          | 0  | w-1    |        | 1     |
            | attempt-started | 1  | w-1    | a      |       |
            | attempt-ended   | 2  | w-1    | a      |       |
            | attempt-started | 2  | w-1    | b      |       |
        Then "no instance overloaded" has 2 opportunities and 0 violations
        Given the workers wrote
            | event           | at | worker | taskId |
            | attempt-started | 3  | w-1    | c      |
        Then "no instance overloaded" has 3 opportunities and 1 violation naming "c#1"

    Scenario: Cores and memory beyond a worker's size are caught
        Given the workers wrote
            | event           | at | worker | taskId | cores | memoryBytes |
            | worker          | 0  | w-1    |        | 4     | 100         |
            | attempt-started | 1  | w-1    | a      | 3     | 10          |
            | attempt-started | 2  | w-1    | b      | 2     | 10          |
        Then "no instance overloaded" has 2 opportunities and 1 violation naming "b#1"
        Given the workers wrote
            | event           | at | worker | taskId | cores | memoryBytes |
            | worker          | 0  | w-2    |        | 4     | 100         |
            | attempt-started | 1  | w-2    | d      | 1     | 60          |
            | attempt-started | 2  | w-2    | e      | 1     | 60          |
        Then "no instance overloaded" has 4 opportunities and 2 violations naming "e#1"

    Scenario: A connection beyond a worker's limit is caught
        Given the workers wrote
            | event              | at | worker |
            | worker             | 0  | w-1    |
            | connection-refused | 1  | w-1    |
        Then "no instance overloaded" has 0 opportunities and 1 violation naming "connections"

    Scenario: Requests of one key one after the other pass, overlapping ones are caught
        Given the callers wrote
            | call | service | key | sentAt | endedAt |
            | c-1  | check   | k   | 0      | 10      |
            | c-2  | check   | k   | 5      | 20      |
            | c-3  | check   | j   | 5      | 20      |
        And the workers wrote
            | event           | at | worker | run | call |
            | request-started | 1  | w-1    | 1   | c-1  |
            | request-ended   | 9  | w-1    | 1   | c-1  |
            | request-started | 9  | w-2    | 1   | c-2  |
            | request-ended   | 15 | w-2    | 1   | c-2  |
            | request-started | 9  | w-2    | 2   | c-3  |
            | request-ended   | 15 | w-2    | 2   | c-3  |
        Then "exclusive requests never overlap" has 1 opportunity and 0 violations
        Given the callers wrote
            | call | service | key | sentAt | endedAt |
            | c-4  | check   | k   | 11     | 30      |
        And the workers wrote
            | event           | at | worker | run | call |
            | request-started | 12 | w-3    | 1   | c-4  |
            | request-ended   | 16 | w-3    | 1   | c-4  |
        Then "exclusive requests never overlap" has 2 opportunities and 1 violation naming "c-4"

    Scenario: A task's attempts one after the other pass, two at once are caught
        Given the workers wrote
            | event           | at | worker | taskId | attempt | state  |
            | attempt-started | 1  | w-1    | a      | 1       |        |
            | attempt-ended   | 5  | w-1    | a      | 1       | lapsed |
            | attempt-started | 6  | w-2    | a      | 2       |        |
        Then "tasks run in one place" has 1 opportunity and 0 violations
        Given the workers wrote
            | event           | at | worker | taskId | attempt |
            | attempt-started | 7  | w-3    | a      | 3       |
        Then "tasks run in one place" has 2 opportunities and 1 violation naming "two places"

    Scenario: An attempt that starts twice, or after the task has finished, is caught
        Given the workers wrote
            | event           | at | worker | taskId | attempt | state    |
            | attempt-started | 1  | w-1    | a      | 1       |          |
            | attempt-ended   | 2  | w-1    | a      | 1       | finished |
            | attempt-started | 3  | w-2    | a      | 2       |          |
            | attempt-started | 1  | w-1    | b      | 1       |          |
            | attempt-ended   | 2  | w-1    | b      | 1       | lapsed   |
            | attempt-started | 3  | w-2    | b      | 1       |          |
        Then "tasks run in one place" has 2 opportunities and 2 violations naming "finished"
        And "tasks run in one place" has 2 opportunities and 2 violations naming "started twice"

    Scenario: A task whose end was lost with its worker may start again, one whose end was noted may not
        Given the workers wrote
            | event                | at | worker | taskId | attempt | state    |
            | worker               | 0  | w-1    |        |         |          |
            | attempt-started      | 1  | w-1    | a      | 1       |          |
            | attempt-ended        | 2  | w-1    | a      | 1       | finished |
            | worker               | 3  | w-1    |        |         |          |
            | attempt-started      | 4  | w-2    | a      | 2       |          |
        Then "tasks run in one place" has 1 opportunity and 0 violations
        Given the workers wrote
            | event                | at | worker | taskId | attempt | state    |
            | worker               | 0  | w-3    |        |         |          |
            | attempt-started      | 1  | w-3    | b      | 1       |          |
            | attempt-ended        | 2  | w-3    | b      | 1       | finished |
            | attempt-acknowledged | 3  | w-3    | b      | 1       |          |
            | worker               | 4  | w-3    |        |         |          |
            | attempt-started      | 5  | w-2    | b      | 2       |          |
        Then "tasks run in one place" has 2 opportunities and 1 violation naming "b#2"

    Scenario: An evicted task that goes on from its checkpoint passes, a lost resume is caught
        Given the workers wrote
            | event           | at | worker | taskId | attempt | state   | progress | checkpointed | resumedProgress |
            | attempt-started | 1  | w-1    | a      | 1       |         |          |              | 0               |
            | attempt-ended   | 2  | w-1    | a      | 1       | stopped | 0.5      | true         |                 |
            | attempt-started | 3  | w-2    | a      | 2       |         |          |              | 0.5             |
        And the run ended at 100000
        Then "evicted work resumes exactly once" has 1 opportunity and 0 violations
        Given the workers wrote
            | event           | at | worker | taskId | attempt | state   | progress | checkpointed | resumedProgress |
            | attempt-started | 1  | w-1    | b      | 1       |         |          |              | 0               |
            | attempt-ended   | 2  | w-1    | b      | 1       | stopped | 0.5      | true         |                 |
        Then "evicted work resumes exactly once" has 2 opportunities and 1 violation naming "never resumed"

    Scenario: A task whose rule has ended need not resume, and is judged where it does
        Given the operators wrote
            | event      | at | rule |
            | rule-ended | 5  | rule |
        And the workers wrote
            | event           | at | worker | taskId | attempt | state   | progress | checkpointed | resumedProgress |
            | attempt-started | 1  | w-1    | a      | 1       |         |          |              | 0               |
            | attempt-ended   | 2  | w-1    | a      | 1       | stopped | 0.5      | true         |                 |
        Then "evicted work resumes exactly once" has 0 opportunities and 0 violations
        Given the workers wrote
            | event           | at | worker | taskId | attempt | resumedProgress |
            | attempt-started | 3  | w-2    | a      | 2       | 0.2             |
        Then "evicted work resumes exactly once" has 1 opportunity and 1 violation naming "resumed at 0.2"

    Scenario: A resume that forgets the checkpoint is caught
        Given the workers wrote
            | event           | at | worker | taskId | attempt | state   | progress | checkpointed | resumedProgress |
            | attempt-started | 1  | w-1    | a      | 1       |         |          |              | 0               |
            | attempt-ended   | 2  | w-1    | a      | 1       | stopped | 0.5      | true         |                 |
            | attempt-started | 3  | w-2    | a      | 2       |         |          |              | 0               |
        Then "evicted work resumes exactly once" has 1 opportunity and 1 violation naming "resumed at 0"

    Scenario: A refusal as not-run passes, one that ran is caught
        Given the callers wrote
            | call | outcome |
            | c-1  | not-run |
            | c-2  | not-run |
        And the workers wrote
            | event           | at | worker | run | call |
            | request-started | 1  | w-1    | 1   | c-2  |
        Then "not-run did not run" has 2 opportunities and 1 violation naming "c-2"

    Scenario: A refused repeat of a call that ran passes
        Given the callers wrote
            | call | outcome | wire |
            | c-1  | unknown | i-1  |
            | c-2  | not-run | i-1  |
        And the workers wrote
            | event           | at | worker | run | call |
            | request-started | 1  | w-1    | 1   | i-1  |
        Then "not-run did not run" has 0 opportunities and 0 violations

    Scenario: One run of a call passes, a second is caught
        Given the callers wrote
            | call | method | outcome |
            | c-1  | POST   | unknown |
        And the workers wrote
            | event           | at | worker | run | call |
            | request-started | 1  | w-1    | 1   | c-1  |
        Then "non-idempotent requests run at most once" has 1 opportunity and 0 violations
        Given the workers wrote
            | event           | at | worker | run | call |
            | request-started | 3  | w-2    | 1   | c-1  |
        Then "non-idempotent requests run at most once" has 1 opportunity and 1 violation naming "c-1 ran 2 times"

    Scenario: A repeat that runs again under its idempotency key is caught
        Given the callers wrote
            | call | wire | method | outcome  |
            | c-1  | i-1  | POST   | answered |
            | c-2  | i-1  | POST   | answered |
        And the workers wrote
            | event           | at | worker | run | call | idempotencyKey |
            | request-started | 1  | w-1    | 1   | i-1  | i-1            |
        Then "non-idempotent requests run at most once" has 1 opportunity and 0 violations
        And "answers are whole and the caller's own" has 2 opportunities and 0 violations
        Given the workers wrote
            | event           | at | worker | run | call | idempotencyKey |
            | request-started | 3  | w-2    | 1   | i-1  | i-1            |
        Then "non-idempotent requests run at most once" has 1 opportunity and 1 violation naming "i-1 ran 2 times"

    Scenario: Wrong, partial and invented answers are caught
        Given the callers wrote
            | call | outcome  | detail                           |
            | c-1  | wrong    | crossed: the answer is for c-9   |
            | c-2  | partial  | partial: the checksum differs    |
            | c-3  | answered |                                  |
        Then "answers are whole and the caller's own" has 3 opportunities and 3 violations naming "c-3"
        And "answers are whole and the caller's own" has 3 opportunities and 3 violations naming "crossed"

    Scenario: Work on a leaving worker passes for five seconds, later work is caught
        Given the operators wrote
            | event          | at   | until  | worker |
            | worker-leaving | 1000 | 100000 | w-1    |
        And the workers wrote
            | event           | at   | worker | run | call | taskId |
            | request-started | 5999 | w-1    | 1   | c-1  |        |
            | request-started | 9000 | w-2    | 1   | c-2  |        |
        Then "no work for leaving upstreams" has 1 opportunity and 0 violations
        Given the workers wrote
            | event           | at   | worker | run | call | taskId |
            | request-started | 6001 | w-1    | 2   | c-3  |        |
            | attempt-started | 6002 | w-1    |     |      | late   |
        Then "no work for leaving upstreams" has 1 opportunity and 2 violations naming "late"
        And "no work for leaving upstreams" has 1 opportunity and 2 violations naming "c-3"

    Scenario: Work that waited while the workers' process stood still is dated to its beginning
        Given the operators wrote
            | event          | at   | until  | worker |
            | worker-leaving | 1000 | 100000 | w-1    |
        And the workers wrote
            | event           | at   | worker   | run | call | milliseconds |
            | stalled         | 6500 | platform |     |      | 800          |
            | request-started | 6510 | w-1      | 1   | c-1  |              |
        Then "no work for leaving upstreams" has 1 opportunity and 0 violations
        Given the workers wrote
            | event           | at   | worker   | run | call | milliseconds |
            | stalled         | 8000 | platform |     |      | 800          |
            | request-started | 8010 | w-1      | 2   | c-2  |              |
        Then "no work for leaving upstreams" has 1 opportunity and 1 violation naming "c-2"

    Scenario: A call that a planned stop cuts is caught, one that is refused before it is sent is not
        Given the operators wrote
            | event        | at  | until | process | origin | exitCode |
            | planned-stop | 100 | 200   | g-1     | http://g | 0      |
        And the callers wrote
            | call | gateway  | sentAt | endedAt | outcome  |
            | c-1  | http://g | 90     | 150     | answered |
            | c-2  | http://g | 150    | 151     | refused  |
            | c-3  | http://h | 90     | 150     | cut      |
        Then "planned stops cut off no request" has 2 opportunities and 0 violations
        Given the callers wrote
            | call | gateway  | sentAt | endedAt | outcome  |
            | c-4  | http://g | 90     | 160     | cut      |
        Then "planned stops cut off no request" has 3 opportunities and 1 violation naming "c-4"

    Scenario: A stop that does not end well is caught
        Given the operators wrote
            | event        | at  | until | process | origin | exitCode |
            | planned-stop | 100 | 200   | s-1     |        | 1        |
        Then "planned stops cut off no request" has 1 opportunity and 1 violation naming "code 1"

    Scenario: A request that the stop of its replica cuts off is caught
        Given the workers wrote
            | event           | at | worker | taskId | kind    | state   | run | call | outcome |
            | attempt-started | 0  | w-1    | a      | service |         |     |      |         |
            | request-started | 1  | w-1    | a      |         |         | 1   | c-1  |         |
            | attempt-ended   | 5  | w-1    | a      |         | stopped |     |      |         |
            | request-ended   | 6  | w-1    | a      |         |         | 1   | c-1  | lost    |
        Then "planned stops cut off no request" has 1 opportunity and 1 violation naming "c-1"

    Scenario: Configurations that rise in time pass, late and reverted ones are caught
        Given the operators wrote
            | event   | at    | revision | process | ready |
            | applied | 1000  | 7        |         |       |
            | status  | 2000  | 3        | g-1     | true  |
            | status  | 11000 | 7        | g-1     | true  |
            | status  | 12500 | 0        | g-2     | false |
            | status  | 13000 | 7        | g-2     | true  |
        Then "configuration in force in time, never reverted" has 2 opportunities and 0 violations
        Given the operators wrote
            | event  | at    | revision | process | ready |
            | status | 12500 | 3        | g-3     | true  |
        Then "configuration in force in time, never reverted" has 3 opportunities and 1 violation naming "g-3 had revision 3 when 7"
        Given the operators wrote
            | event   | at    | revision | process | ready |
            | applied | 13000 | 9        |         |       |
            | status  | 14000 | 9        | g-2     | true  |
            | status  | 15000 | 7        | g-2     | true  |
        Then "configuration in force in time, never reverted" has 6 opportunities and 2 violations naming "g-2 went back from revision 9 to 7"

    Scenario: A task that outlives its rule is caught
        Given the operators wrote
            | event      | at   | rule |
            | rule-ended | 1000 | prep |
        And the workers wrote
            | event           | at   | worker | taskId | rule | state   |
            | attempt-started | 500  | w-1    | a      | prep |         |
            | attempt-ended   | 3000 | w-1    | a      | prep | stopped |
        And the run ended at 100000
        Then "no forgotten job keeps running" has 1 opportunity and 0 violations
        Given the workers wrote
            | event           | at   | worker | taskId | rule |
            | attempt-started | 500  | w-1    | b      | prep |
        Then "no forgotten job keeps running" has 2 opportunities and 1 violation naming "b#1"

    Scenario: A paused process has the whole limit from its return, and no more
        Given the operators wrote
            | event   | at    | until | revision | process | ready | kind  | target |
            | applied | 1000  |       | 7        |         |       |       |        |
            | fault   | 2000  | 20000 |          |         |       | pause | g-1    |
            | status  | 30000 |       | 3        | g-1     | true  |       |        |
        Then "configuration in force in time, never reverted" has 1 opportunity and 0 violations
        Given the operators wrote
            | event   | at    | revision | process | ready |
            | status  | 31001 | 3        | g-1     | true  |
        Then "configuration in force in time, never reverted" has 1 opportunity and 1 violation naming "g-1 had revision 3"

    Scenario: Two accepted edits of one version are caught
        Given the operators wrote
            | event     | at   | team | revision | base |
            | edit-race | 900  | t    |          |      |
            | applied   | 1000 | t    | 7        | 5    |
            | applied   | 1100 | t    | 9        | 7    |
        Then "no operator's edit is lost" has 1 opportunity and 0 violations
        Given the operators wrote
            | event   | at   | team | revision | base |
            | applied | 1200 | t    | 10       | 7    |
        Then "no operator's edit is lost" has 1 opportunity and 1 violation naming "t at revision 7"

    Scenario: An end that was lost with its worker excuses only starts after the loss
        Given the workers wrote
            | event           | at | worker | taskId | attempt | state    |
            | worker          | 0  | w-1    |        |         |          |
            | attempt-started | 1  | w-1    | a      | 1       |          |
            | attempt-ended   | 2  | w-1    | a      | 1       | finished |
            | worker          | 9  | w-1    |        |         |          |
            | attempt-started | 10 | w-2    | a      | 2       |          |
        Then "tasks run in one place" has 1 opportunity and 0 violations
        And "tasks run in one place" has 1 excused event naming "a#2"
        Given the workers wrote
            | event           | at | worker | taskId | attempt | state    |
            | attempt-started | 1  | w-1    | b      | 1       |          |
            | attempt-ended   | 2  | w-1    | b      | 1       | finished |
            | attempt-started | 5  | w-2    | b      | 2       |          |
        Then "tasks run in one place" has 2 opportunities and 1 violation naming "b#2"

    Scenario: An end that the owner had half a minute to note is not excused
        Given the workers wrote
            | event           | at    | worker | taskId | attempt | state    |
            | worker          | 0     | w-1    |        |         |          |
            | attempt-started | 1     | w-1    | a      | 1       |          |
            | attempt-ended   | 2     | w-1    | a      | 1       | finished |
            | worker          | 30003 | w-1    |        |         |          |
            | attempt-started | 30004 | w-2    | a      | 2       |          |
        Then "tasks run in one place" has 1 opportunity and 1 violation naming "a#2"

    Scenario: A stall does not excuse a call that was sent after the limit
        Given the operators wrote
            | event          | at   | until  | worker |
            | worker-leaving | 1000 | 100000 | w-1    |
        And the callers wrote
            | call | sentAt | endedAt |
            | c-1  | 5900   | 7000    |
            | c-2  | 6400   | 7000    |
        And the workers wrote
            | event           | at   | worker   | run | call | milliseconds |
            | stalled         | 6500 | platform |     |      | 800          |
            | request-started | 6510 | w-1      | 1   | c-1  |              |
            | request-started | 6520 | w-1      | 2   | c-2  |              |
        Then "no work for leaving upstreams" has 1 opportunity and 1 violation naming "c-2"
        And "no work for leaving upstreams" has 1 excused event naming "c-1"

    Scenario: A pause prolongs the limit of a configuration by its own length only
        Given the operators wrote
            | event   | at    | until | revision | process | ready | kind  | target |
            | applied | 1000  |       | 7        |         |       |       |        |
            | fault   | 10000 | 12000 |          |         |       | pause | g-1    |
            | status  | 13900 |       | 3        | g-1     | true  |       |        |
        Then "configuration in force in time, never reverted" has 1 opportunity and 0 violations
        And "configuration in force in time, never reverted" has 1 excused event naming "revision 3"
        Given the operators wrote
            | event  | at    | revision | process | ready |
            | status | 14001 | 3        | g-1     | true  |
        Then "configuration in force in time, never reverted" has 1 opportunity and 1 violation naming "g-1 had revision 3"

    Scenario: Processes that say that they are not ready are counted as excused
        Given the operators wrote
            | event   | at    | revision | process | ready |
            | applied | 1000  | 7        |         |       |
            | status  | 2000  | 7        | g-1     | true  |
            | status  | 13000 | 0        | g-1     | false |
        Then "configuration in force in time, never reverted" has 1 opportunity and 0 violations
        And "configuration in force in time, never reverted" has 2 excused events naming "g-1"

    Scenario: A run before the only repeat that was not refused had been sent is caught
        Given the callers wrote
            | call | outcome  | wire | sentAt | endedAt |
            | c-1  | not-run  | i-1  | 0      | 10      |
            | c-2  | answered | i-1  | 100    | 120     |
        And the workers wrote
            | event           | at  | worker | run | call |
            | request-started | 101 | w-1    | 1   | i-1  |
        Then "not-run did not run" has 0 opportunities and 0 violations
        And "not-run did not run" has 1 excused event naming "i-1"
        Given the workers wrote
            | event           | at | worker | run | call |
            | request-started | 5  | w-2    | 1   | i-1  |
        Then "not-run did not run" has 0 opportunities and 1 violation naming "i-1"

    Scenario: The end of a rule excuses a lost resume only where it came before the resume was due
        Given the operators wrote
            | event      | at    | rule |
            | rule-ended | 60003 | rule |
        And the workers wrote
            | event           | at | worker | taskId | attempt | state   | checkpointed |
            | attempt-started | 1  | w-1    | a      | 1       |         |              |
            | attempt-ended   | 2  | w-1    | a      | 1       | stopped | true         |
            | attempt-started | 1  | w-1    | b      | 1       |         |              |
            | attempt-ended   | 4  | w-1    | b      | 1       | stopped | true         |
        Then "evicted work resumes exactly once" has 1 opportunity and 1 violation naming "a#1"
        And "evicted work resumes exactly once" has 1 excused event naming "b#1"

    Scenario: A call that found the port of a stopping gateway closed is counted apart from those that were cut
        Given the operators wrote
            | event        | at | until | process | origin         | exitCode |
            | planned-stop | 10 | 20    | g-1     | http://gateway | 0        |
        And the callers wrote
            | call | outcome | sentAt | endedAt |
            | c-1  | refused | 15     | 16      |
        Then "planned stops cut off no request" has 1 opportunity and 0 violations
        And "planned stops cut off no request" has 1 excused event naming "c-1"

    Scenario: Processes that give no status are counted as excused
        Given the operators wrote
            | event     | at    | revision | process | ready |
            | applied   | 1000  | 7        |         |       |
            | status    | 2000  | 7        | g-1     | true  |
            | no-status | 13000 |          | g-2     |       |
            | no-status | 14000 |          | g-2     |       |
        Then "configuration in force in time, never reverted" has 1 opportunity and 0 violations
        And "configuration in force in time, never reverted" has 1 excused event naming "g-2 gave no status 2 times"
