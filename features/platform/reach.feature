Feature: A process knows whether the store answers

    Scenario: The store counts as reached only while it answers
        Given an observed store that nobody has called
        Then the observed store counts as not reached
        When the observed store is read
        Then the observed store counts as reached
        When the observed store goes down and is read
        Then the observed store counts as not reached
