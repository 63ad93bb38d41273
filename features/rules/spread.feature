Feature: Accepted rules are in force on every process and never revert

    Scenario: The store goes down right after it has accepted
        Given a fleet of 3 entry instances that know the rules
        When rules are accepted and the store goes down at once
        Then every process has them in force
        And no process has seen a revision fall

    Scenario: A process that was cut off catches up when its links heal
        Given a fleet of 3 entry instances that know the rules
        When the links of instance 3 are cut, also to the store
        And rules are accepted
        Then every process but those of instance 3 has them in force
        And the processes of instance 3 have them not
        When the links of instance 3 heal
        Then every process has them in force
        And no process has seen a revision fall

    Scenario: A process without any revision takes no traffic
        Given a fleet of 2 entry instances whose store is down
        Then every process has asked its peers and knows no rules
        When the store is back
        Then every process knows the rules

    Scenario: A process that restarts while the store is down gets the newest revision from its peers
        Given a fleet of 3 entry instances that know the rules
        When rules are accepted and the store goes down at once
        And every process has them in force
        And the gateway of instance 2 is killed and restarts
        Then every process has them in force
        And no process has seen a revision fall

    Scenario: A process that restarts on a stale read does not fall back
        Given a fleet of 3 entry instances that know the rules
        When reads of the store become stale
        And rules are accepted through a process
        And every process has them in force
        And the gateway of instance 2 is killed and restarts
        Then every process has them in force
        And no process has seen a revision fall

    Scenario: A watch that is open but silent is found out
        Given a fleet of 2 entry instances that know the rules
        When watches of the store fall silent
        And rules are written to the store by none of the processes
        Then every process has them in force

    Scenario: A broken watch is opened again and misses nothing
        Given a fleet of 2 entry instances that know the rules
        When watches of the store break
        And rules are written to the store by none of the processes
        Then every process has them in force
        And no process has seen a revision fall

    Scenario: Late and replayed records change nothing
        Given a catalog that knows revisions 5 of "desk" and 7 of "bookings", complete up to 7
        When records 3 of "desk" and 6 of "bookings" arrive late
        Then the catalog has revisions 5 of "desk" and 7 of "bookings"
        And whatever order and number of times records arrive in, no team's revision falls and the newest is kept
