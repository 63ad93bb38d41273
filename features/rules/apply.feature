Feature: Rules are accepted whole or not at all, and no edit is lost

    Background:
        Given a fleet of 2 entry instances that know the rules

    Scenario: A file with errors changes nothing
        When "Aino" applies to "rental-desk" at base 0 through instance 1 as "first":
            """
            service beacon-check --cores 2 --memory 4GiB --until 2031-05-31 # Aino
            service broken --cores 2 --until 2031-05-31
            """
        Then the apply is rejected with errors on lines 2, 2
        And "rental-desk" has 0 versions

    Scenario: Of two operators who race one gets a conflict that shows the other's change
        When "Aino" and "Eero" apply different rules to "rental-desk" at the same time through two instances
        Then one apply is accepted and the other is a conflict that shows the accepted line
        And "rental-desk" has 1 versions

    Scenario: An answer of the store lost after the write is settled
        Given the store loses the answer of the next write
        When "Aino" applies to "rental-desk" at base 0 through instance 1 as "first":
            """
            service beacon-check --cores 2 --memory 4GiB --until 2031-05-31 # Aino
            """
        Then the apply is accepted as a change
        And the store has lost 1 answers
        And "rental-desk" has 1 versions

    Scenario: The same apply once more changes nothing
        When "Aino" applies to "rental-desk" at base 0 through instance 1 as "first":
            """
            service beacon-check --cores 2 --memory 4GiB --until 2031-05-31 # Aino
            """
        And the same apply is made through instance 2
        Then the apply is accepted at the same revision without a change
        And "rental-desk" has 1 versions

    Scenario: An apply whose answer was lost is known again after others have changed the rules
        When "Aino" applies to "rental-desk" at base 0 through instance 1 as "first":
            """
            service beacon-check --cores 2 --memory 4GiB --until 2031-05-31 # Aino
            """
        And "Eero" applies to "rental-desk" at the base in force through instance 2 as "second":
            """
            service beacon-check --cores 3 --memory 4GiB --until 2031-05-31 # Aino
            """
        And the apply "first" is made again through instance 2
        Then the apply is accepted at the revision of "first"
        And "rental-desk" has 2 versions
        And the newest version of "rental-desk" is by "Eero" and changed 1 rules

    Scenario: An earlier version is put in force again
        When "Aino" applies to "rental-desk" at base 0 through instance 1 as "first":
            """
            service beacon-check --cores 2 --memory 4GiB --until 2031-05-31 # Aino
            """
        And "Eero" applies to "rental-desk" at the base in force through instance 2 as "second":
            """
            batch prep --cores 3 --memory 4GiB --until 2031-05-31 # Eero
            """
        And "Aino" reverts "rental-desk" to version 1 through instance 1
        Then the apply is accepted as a change
        And the rules in force of "rental-desk" are those of "first"
        And "rental-desk" has 3 versions

    Scenario: A rule whose name another team has is rejected
        When "Aino" applies to "rental-desk" at base 0 through instance 1 as "first":
            """
            service beacon-check --cores 2 --memory 4GiB --until 2031-05-31 # Aino
            """
        And "Eero" applies to "bookings" at base 0 through instance 1 as "second":
            """
            service beacon-check --cores 2 --memory 4GiB --until 2031-05-31 # Eero
            """
        Then the apply is rejected with errors on lines 1
        And "bookings" has 0 versions

    Scenario: A job that no worker can hold is rejected
        Given a worker of 32 cores in "levi"
        When "Aino" applies to "rental-desk" at base 0 through instance 1 as "first":
            """
            batch huge --cores 64 --memory 4GiB --until 2031-05-31 # Aino
            batch misplaced --cores 4 --memory 4GiB --in oulu --until 2031-05-31 # Aino
            batch fits --cores 4 --memory 4GiB --in levi --until 2031-05-31 # Aino
            """
        Then the apply is rejected with errors on lines 1, 2

    Scenario: What ends soon is told by metric
        When "Aino" applies to "rental-desk" at base 0 through instance 1 as "first":
            """
            service long --cores 2 --memory 4GiB --until 2999-05-31 # Aino
            service past --cores 2 --memory 4GiB --until 2020-05-31 # Aino
            batch retired --cores 2 --memory 4GiB --feature guide-bookings # Aino
            retire guide-bookings # Aino
            """
        Then a process reports within its next check that 2 rules have ended

    Scenario: History is kept for as long as the settings say
        Given a surface of its own that keeps history for 10 days
        When rules are applied on days 0, 4, 9, 13 and 30
        Then after each apply the versions are of days:
            | 0        |
            | 0, 4     |
            | 0, 4, 9  |
            | 4, 9, 13 |
            | 13, 30   |

    Scenario: Bodies that are not what a method takes are refused and crash nothing
        Then 300 arbitrary bodies to the operators' port and the peers' port of instance 1 are answered
        And instance 1 still knows the rules

    Scenario: Bodies with one bad place are refused for that place
        Then 300 calls of methods of instance 1 with one bad place are carried out or refused for that place
        And instance 1 still knows the rules
