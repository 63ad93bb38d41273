Feature: The worker stand-in carries out orders once, under leases and epochs

    Background:
        Given a worker stand-in at the speed of 10 declared seconds a second

    Scenario: A batch task finishes, and is kept until it is acknowledged
        When attempt 1 of batch task "prep-1" with 2 seconds of work is started
        Then the worker says that attempt 1 of "prep-1" is "finished"
        When attempt 1 of "prep-1" is acknowledged
        Then the worker knows no attempt of "prep-1"

    Scenario: A repeated start runs nothing twice
        When attempt 1 of batch task "prep-1" with 900 seconds of work is started
        And attempt 1 of batch task "prep-1" with 900 seconds of work is started
        Then the last start is "started"
        And the records show 1 start of "prep-1"

    Scenario: A start that arrives after its stop runs nothing
        When attempt 1 of "prep-1" is stopped
        And attempt 1 of batch task "prep-1" with 900 seconds of work is started
        Then the last start is "refused"
        And the records show 0 starts of "prep-1"

    Scenario: A start that arrives after its acknowledged end runs nothing
        Given attempt 1 of batch task "prep-1" with 1 seconds of work is started
        And the worker says that attempt 1 of "prep-1" is "finished"
        And attempt 1 of "prep-1" is acknowledged
        When attempt 1 of batch task "prep-1" with 1 seconds of work is started
        Then the last start is "refused"

    Scenario: An attempt whose lease is not renewed lapses
        When attempt 1 of batch task "prep-1" is started under a lease of 100 milliseconds
        Then the worker says that attempt 1 of "prep-1" is "lapsed"

    Scenario: A stop with a checkpoint lets another attempt go on from there
        Given attempt 1 of batch task "prep-1" with 900 seconds of work is started
        When attempt 1 of "prep-1" is stopped with a checkpoint
        Then the worker says that attempt 1 of "prep-1" is "stopped"
        And attempt 2 of "prep-1" resumes where attempt 1 stopped

    Scenario: An owner of an older epoch is refused
        Given attempt 1 of batch task "prep-1" with 900 seconds of work is started
        When the epoch rises
        And the earlier owner starts attempt 1 of batch task "prep-2"
        Then the order fails as "fenced"
        And the records show 0 starts of "prep-2"

    Scenario: A worker that fails all it starts says so
        Given the worker stand-in has the faults '{"failStarts": true}'
        When attempt 1 of batch task "prep-1" with 2 seconds of work is started
        Then the worker says that attempt 1 of "prep-1" is "failed"

    Scenario: A silent worker answers nothing while its tasks go on
        Given attempt 1 of batch task "prep-1" with 2 seconds of work is started
        And the worker stand-in has the faults '{"silent": true}'
        Then a report fails as "timeout"
        When the worker stand-in has the faults '{"silent": false}'
        Then the worker says that attempt 1 of "prep-1" is "finished"

    Scenario: A lost answer to an order is an order that was carried out
        Given the worker stand-in has the faults '{"loseOrderAnswers": 1}'
        When attempt 1 of batch task "prep-1" with 900 seconds of work is started
        Then the order fails as "ambiguous"
        And the records show 1 start of "prep-1"

    Scenario: A restarted worker has another incarnation and runs nothing
        Given attempt 1 of batch task "prep-1" with 900 seconds of work is started
        When the worker stand-in has the faults '{"restart": true}'
        Then the worker knows no attempt of "prep-1" under another incarnation

    Scenario: Neighbours disturb a task by their pair's hidden effect, and throttling eases it
        Given attempt 1 of batch task "prep-1" with 900 seconds of work is started
        And attempt 1 of batch task "noisy-1" of rule "noisy" is started
        Then the report shows "prep-1" slower than "noisy-1"
        When attempt 1 of "noisy-1" is throttled to 0
        Then the report shows "noisy-1" at a share of 0

    Scenario: A request for another attempt is refused and does not run
        Given attempt 1 of service task "check-1" is started
        When a request for attempt 2 of "check-1" arrives
        Then it is answered with status 503 and the outcome "not-run"
        And the records show 0 requests

    Scenario: A request past its deadline is refused, one that reaches it is ended as unknown
        Given attempt 1 of service task "check-1" is started
        And the worker stand-in has the faults '{"slowMilliseconds": 60000}'
        When a request for attempt 1 of "check-1" arrives with a deadline in 50 milliseconds
        Then it is answered with status 504 and the outcome "unknown"
        When a request for attempt 1 of "check-1" arrives with a deadline in -50 milliseconds
        Then it is answered with status 503 and the outcome "not-run"

    Scenario: A service replica that is stopped finishes what it has and refuses the rest
        Given attempt 1 of service task "check-1" is started
        And the worker stand-in has the faults '{"slowMilliseconds": 300}'
        And a request for attempt 1 of "check-1" is under way
        When attempt 1 of "check-1" is stopped
        And a request for attempt 1 of "check-1" arrives
        Then it is answered with status 503 and the outcome "not-run"
        And the request under way is answered with status 200
        And the worker says that attempt 1 of "check-1" is "stopped"

    Scenario: A worker holds no more connections than it says
        Given attempt 1 of service task "check-1" is started
        When 5 connections are opened to a worker that holds 4
        Then 1 connection is closed by the worker
        And the records show a refused connection
