Feature: Operators drive the system through the client

    Scenario: A day of an operator
        Given a deployment of 2 entry instances and 3 workers
        And the rules file "rental-desk.rules":
            """
            service beacon-check --replicas 2 --cores 2 --memory 4GiB --until 2031-05-31 # Aino, rental desk
            batch season-prep --cores 2 --memory 4GiB --seconds 3600 --feature guide-bookings # Eero, bookings
            batch too-much --cores 32 --memory 4GiB --seconds 3600 --runs 1 # Eero, bookings
            """
        When the operator runs "rules plan rental-desk.rules"
        Then the client exits with 0 and prints "+ service beacon-check"
        When the operator runs "rules apply rental-desk.rules"
        Then the client exits with 0 and prints "rental-desk: revision"
        And the client notes "in force on 4 of 4"
        When the operator runs "rules apply rental-desk.rules"
        Then the client exits with 0 and prints "is in force already"
        When the operator runs "jobs --rule beacon-check" until it prints "running"
        Then the client exits with 0 and prints "Aino, rental desk"
        When the operator runs "status" until it exits with 0
        Then the client exits with 0 and prints "entry-2/scheduler"
        When the operator runs "explain season-prep" until it prints "running"
        Then the client exits with 0 and prints "asked for by Eero, bookings"
        When the operator runs "explain" of the task of "too-much" until it prints "refused by"
        Then the client exits with 0 and prints "workers"
        When the operator runs "who guide-bookings"
        Then the client exits with 0 and prints "Eero, bookings"
        When the operator runs "rules ending --days 3000"
        Then the client exits with 0 and prints "service beacon-check"
        When the operator runs "workers"
        Then the client exits with 0 and prints "levi-03"
        When the operator runs "state verify"
        Then the client exits with 0 and prints ""
        And the client notes "0 violations in 1 cells"
        When the operator runs "state export"
        Then the client exits with 0 and prints "season-prep@once/0"
        When the operator runs "drain levi-03"
        Then the client exits with 0 and prints "is being drained"
        When the operator runs "workers" until it prints "draining"
        Then the client exits with 0 and prints "draining"
        When the operator runs "retire guide-bookings"
        Then the client exits with 8 and notes "season-prep"
        When the operator runs "retire guide-bookings --yes"
        Then the client exits with 0 and prints "+ retire guide-bookings"
        And the client notes "0 tasks left"
        When the operator runs "cancel" of the task of "too-much"
        Then the client exits with 0 and prints "is cancelled"
        When the operator runs "rules history rental-desk"
        Then the client exits with 0 and prints "version 2"
        When the operator runs "rules revert-to rental-desk 1"
        Then the client exits with 0 and prints "- retire guide-bookings"
        When the operator runs "rules show rental-desk --json"
        Then the client exits with 0 and prints JSON

    Scenario: An apply from an old base is a conflict with the changes since
        Given a fleet of 1 entry instances that know the rules
        And the rules file "rental-desk.rules":
            """
            service beacon-check --replicas 2 --cores 2 --memory 4GiB --until 2031-05-31 # Aino, rental desk
            """
        When the operator runs "rules apply rental-desk.rules --by Aino"
        Then the client exits with 0 and prints "accepted"
        Given the rules file "rental-desk.rules":
            """
            service beacon-check --replicas 3 --cores 2 --memory 4GiB --until 2031-05-31 # Eero, bookings
            """
        When the operator runs "rules apply rental-desk.rules --base 0 --by Eero"
        Then the client exits with 4 and prints "+ service beacon-check --replicas 2"
        And the client notes "Aino changed the rules of rental-desk"

    Scenario: An apply while the store is down says that nothing was changed
        Given a fleet of 1 entry instances that know the rules
        And the rules file "rental-desk.rules":
            """
            service beacon-check --replicas 2 --cores 2 --memory 4GiB --until 2031-05-31 # Aino, rental desk
            """
        And the store of the fleet is down
        When the operator runs "rules apply rental-desk.rules"
        Then the client exits with 1 and notes "unavailable"

    Scenario Outline: Slips on the command line are named with what was meant
        Given the rules file "rental-desk.rules":
            """
            servise beacon-check --cores 2 --memory 4GiB --until 2031-05-31 # Aino
            """
        When the operator runs "<command>"
        Then the client exits with <code> and notes "<note>"

        Examples:
            | command                         | code | note                                          |
            | rulse check rental-desk.rules   | 2    | did you mean rules check                      |
            | jobs --jsn                      | 2    | did you mean --json                           |
            | rules check                     | 2    | FILE is missing                               |
            | rules check rental-desk.rules   | 3    | rental-desk.rules:1:1: unknown word "servise" |
            | rules check nowhere.rules       | 2    | no such file                                  |
            | jobs --state waiting            | 2    | use one of                                    |
            | status --gateway http://[::1]:1 | 1    | ECONNREFUSED                                  |
            | completion tcsh                 | 2    | use bash, zsh or fish                         |
            | rules apply rental-desk.rules --base two | 2 | --base two: use a whole number from 0   |
            | rules ending --days -1          | 2    | --days                                        |
            | status --gateway entry-1:7002   | 2    | use http://ADDRESS:PORT                       |
            | trace 7c01                      | 2    | LOG-FILE... is missing                        |
            | trace 7c01 nowhere.log          | 2    | no such file                                  |
            | trace 7c01 rental-desk.rules    | 7    | 1 lines are no events and were left out       |

    Scenario: A request's lines in several logs are put in order, with what explains them
        Given the log "front.log":
            """
            {"time":"2031-05-01T06:00:04.000Z","event":"request-answered","instance":"entry-1","request":"7c01","path":"/checks/b1","status":200}
            {"time":"2031-05-01T06:00:04.500Z","event":"request-answered","instance":"entry-1","request":"7c02","path":"/checks/b2","status":200}
            """
        And the log "owner.log":
            """
            {"time":"2031-05-01T06:00:01.000Z","event":"cell-owned","instance":"entry-2","cell":"main","epoch":3}
            {"time":"2031-05-01T06:00:03.000Z","event":"cell-owned","instance":"entry-2","cell":"main","epoch":4}
            {"time":"2031-05-01T06:00:05.000Z","event":"start-ordered","instance":"entry-2","task":"b1.0.0","worker":"levi-1"}
            {"time":"2031-05-01T06:00:05.200Z","event":"stop-confirmed","instance":"entry-2","task":"b2.0.0","worker":"levi-1"}
            {"time":"2031-05-01T06:00:05.500Z","event":"worker-silent","instance":"entry-2","worker":"levi-1"}
            {"time":"2031-05-01T06:00:05.600Z","event":"worker-silent","instance":"entry-2","worker":"levi-2"}
            {"time":"2031-05-01T06:00:07.000Z","event":"job-ended","instance":"entry-2","job":"b1","state":"completed"}
            """
        When the operator runs "trace 7c01 front.log owner.log --json"
        Then the client prints the own events "request-answered start-ordered job-ended" and around them "cell-owned worker-silent"

    Scenario: Every command explains itself
        Then every command prints its usage and all of its options with --help
