Feature: The policy learns from late, missing and wrong reports

    Scenario: A neighbour that slows a service down is held down and kept away from then on
        Given a policy that learns, a service on "worker-0" and a clean "worker-1"
        And 20 reports of the service alone
        When "noisy" runs beside it for 40 reports with 3 times the tail
        Then "noisy" on "worker-0" is throttled or evicted
        And a new task of "noisy" goes to "worker-1"

    Scenario: A harmless neighbour is left alone
        Given a policy that learns, a service on "worker-0" and a clean "worker-1"
        And 20 reports of the service alone
        When "quiet" runs beside it for 40 reports with 1 times the tail
        Then nothing is done to "quiet" on "worker-0"

    Scenario: One wrong report disturbs nobody
        Given a policy that learns, a service on "worker-0" and a clean "worker-1"
        And 20 reports of the service alone
        When "quiet" runs beside it for 40 reports with 1 times the tail
        And "quiet" runs beside it for 1 reports with 10 times the tail
        Then nothing is done to "quiet" on "worker-0"

    Scenario: Without any news running tasks are left alone and replicas still get a place
        Given a policy that learns, a service on "worker-0" and a clean "worker-1"
        Then nothing is done to "noisy" on "worker-0"
        And a new replica is placed

    Scenario: Old, repeated and future reports teach nothing
        Given a policy that learns, a service on "worker-0" and a clean "worker-1"
        And 20 reports of the service alone
        When 40 reports of "noisy" with 3 times the tail arrive too old, repeated and from the future
        Then nothing is done to "noisy" on "worker-0"
        And the counters show 40 old, 40 repeated and 40 future reports

    Scenario: A throttled neighbour is let go only on fresh good news
        Given a policy that learns, a service on "worker-0" and a clean "worker-1"
        And 20 reports of the service alone
        And "noisy" runs beside it for 40 reports with 3 times the tail
        And the decisions are carried out
        When 40 reports of "noisy" with 1 times the tail arrive too old, repeated and from the future
        Then the throttled "noisy" stays throttled
        When "noisy" runs beside it for 200 reports with 1 times the tail
        Then the throttled "noisy" is let go

    Scenario: A rule that uses more than it declares takes more room
        Given a policy that learns, a service on "worker-0" and a clean "worker-1"
        When 40 reports show "greedy" using twice its 4 declared cores on "worker-1"
        Then 3 of 8 new tasks of "greedy" are placed on an empty worker

    Scenario: Caps on evictions hold whatever reports say
        Then evictions stay within the caps for an hour and for a task in 40 arbitrary histories
