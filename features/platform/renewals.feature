Feature: Renewals name what both ends know by a version, and never renew what the owner did not mean

    Background:
        Given a worker stand-in at the speed of 10 declared seconds a second

    Scenario: A renewal that lists no attempts renews those of the renewal before
        Given attempt 1 of batch task "prep-1" is started under a lease of 400 milliseconds
        And attempt 1 of batch task "prep-2" is started under a lease of 400 milliseconds
        When attempt 1 of "prep-1" is renewed by 400 milliseconds 2 times
        Then the worker was sent the attempts to renew once
        When a renewal by 600000 milliseconds names the last version
        Then the renewal is refused as "none"
        And the worker says that attempt 1 of "prep-2" is "lapsed"
        And attempt 1 of "prep-1" still runs

    Scenario: A renewal that names an outdated version renews nothing
        Given attempt 1 of batch task "prep-1" is started under a lease of 400 milliseconds
        And attempt 1 of "prep-1" is renewed by 400 milliseconds 2 times
        When a renewal by 600000 milliseconds names the version before the last
        Then the renewal is refused as "conflict"
        And the worker says that attempt 1 of "prep-1" is "lapsed"

    Scenario: A restarted worker does not take its former incarnation's version
        Given attempt 1 of batch task "prep-1" with 900 seconds of work is started
        And attempt 1 of "prep-1" still runs
        When the worker stand-in has the faults '{"restart": true}'
        Then the worker knows no attempt of "prep-1" under another incarnation

    Scenario: A version does not pass from one owner to the next
        Given attempt 1 of batch task "prep-1" is started under a lease of 400 milliseconds
        And attempt 1 of "prep-1" is renewed by 400 milliseconds 1 time
        When the epoch rises without a renewal
        And a renewal by 600000 milliseconds names the last version
        Then the renewal is refused as "conflict"
        And the worker says that attempt 1 of "prep-1" is "lapsed"

    Scenario: An order for a worker's former incarnation is refused
        Given attempt 1 of batch task "prep-1" with 900 seconds of work is started
        When the worker stand-in has the faults '{"restart": true}'
        And attempt 2 of "prep-1" is ordered to start on the incarnation of before
        Then the order fails as "fenced"
        And the records show 1 start of "prep-1"
