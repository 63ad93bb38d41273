Feature: A rule name is one team's

    Scenario: Of two teams that race for a name through two gateways one has it
        Given a fleet of 2 entry instances that know the rules
        And the store takes 300 ms for each call
        When "rental-desk" and "bookings" apply a rule "beacon-check" at the same time through two instances
        Then one team has the name and the other is told that it has not

    Scenario: A name that another team takes between check and write is refused
        Given a store of its own
        And "bookings" applies "beacon-check" just before the next write
        When "rental-desk" applies "beacon-check" to the store
        Then the apply to the store is refused because of "bookings"
        And the store has no rules of "rental-desk"

    Scenario: A name that is given back can be taken
        Given a store of its own
        When "rental-desk" applies "beacon-check" to the store
        And "rental-desk" applies "season-prep" to the store
        And "bookings" applies "beacon-check" to the store
        Then the apply to the store is accepted
        When "rental-desk" applies "beacon-check, season-prep" to the store
        Then the apply to the store is refused because of "bookings"

    Scenario: An apply that moves more names than a transaction holds says so
        Given a store of its own
        When "rental-desk" applies 101 rules to the store
        Then the apply to the store is refused because of "apply it in steps"
        When "rental-desk" applies 100 rules to the store
        Then the apply to the store is accepted

    Scenario: A name that changes hands is one team's in every order of arrival
        Given revision 5 of "rental-desk" with "beacon-check" and revision 8 without
        And revision 9 of "bookings" with "beacon-check"
        Then a process that receives these in any order never has "beacon-check" twice and in the end from "bookings"
