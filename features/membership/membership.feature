Feature: Processes know which of their peers live

    Scenario: A killed process is found dead by all, and alive again after its restart
        Given a fleet of 3 entry instances that know the rules
        When the gateway of instance 2 is killed
        Then every other process sees the gateway of instance 2 as "dead"
        When the gateway of instance 2 restarts
        Then every other process sees the gateway of instance 2 as "alive"
        And its incarnation has risen

    Scenario: A process that stops gracefully says so
        Given a fleet of 3 entry instances that know the rules
        When the gateway of instance 2 stops gracefully
        Then every other process sees the gateway of instance 2 as leaving before it sees it as dead

    Scenario: A lost link between two processes is no death
        Given a fleet of 3 entry instances that know the rules
        When nothing passes from the gateway of instance 1 to the gateway of instance 2
        Then the gateway of instance 1 reaches peers through others 3 times
        And no process has suspected a peer

    Scenario: A process that was paused refutes what was said of it
        Given a fleet of 3 entry instances that know the rules
        When the gateway of instance 2 is paused
        Then every other process sees the gateway of instance 2 as "dead"
        When the gateway of instance 2 goes on
        Then every other process sees the gateway of instance 2 as "alive"
        And its incarnation has risen

    Scenario: Two sides of a partition find each other when it heals
        Given a fleet of 4 entry instances that know the rules
        When the links of instances 3 and 4 are cut
        Then every other process sees the gateway of instance 3 as "dead"
        When the links of instances 3 and 4 are whole again
        Then every process sees every other as "alive"

    Scenario: An instance that is gone from the list is forgotten
        Given a fleet of 3 entry instances that know the rules
        When the processes of instance 3 are killed and the list drops it
        Then no process of instances 1 and 2 knows a member of instance 3

    Scenario: News of a member replaces older news in every order of arrival
        Then two processes that receive the same updates in any order reach the same state

    Scenario: A leave replaces a suspicion, whichever comes first
        Given a process that knows one peer
        When it receives an update that the peer is "suspect" and then that it is "leaving"
        Then it sees the peer as "leaving"
        When it receives an update that the peer is "suspect"
        Then it sees the peer as "leaving"

    Scenario: A leaving peer that falls silent is dead after the suspicion time and passed on as nothing else
        Given a process that knows one peer
        When it receives an update that the peer is "leaving"
        And the peer does not answer 3 probes
        Then it sees the peer as "leaving"
        And it passes the peer on as "leaving"
        When the suspicion time is over
        Then it sees the peer as "dead"

    Scenario: A leaving peer that answers after all is not dead
        Given a process that knows one peer
        When it receives an update that the peer is "leaving"
        And the peer does not answer 3 probes
        And the peer answers
        And the suspicion time is over
        Then it sees the peer as "leaving"

    Scenario: A process that leaves repeats itself until all of a small fleet have heard
        Given 10 processes whose first message to each other is lost
        When one of them leaves
        Then 9 of the others have received its announcement

    Scenario: A process that leaves a large fleet tells a bounded number
        Given 60 processes whose first message to each other is lost
        When one of them leaves
        Then 24 to 31 of the others have received its announcement

    Scenario: What others say of a silence is no proof of a death
        Given a process that knows one peer
        When it receives an update that the peer is "suspect"
        And the suspicion time is over
        Then it sees the peer as "suspect"

    Scenario: A silence that further probes confirm is a death
        Given a process that knows one peer
        When the peer does not answer 2 probes
        And the suspicion time is over
        Then it sees the peer as "suspect"
        When the peer does not answer 1 probe
        And the suspicion time is over
        Then it sees the peer as "dead"

    Scenario: An answer ends the doubt in a peer
        Given a process that knows one peer
        When the peer does not answer 3 probes
        And the peer answers
        And the suspicion time is over
        Then it sees the peer as "suspect"
        When the peer refutes the suspicion
        Then it sees the peer as "alive"
