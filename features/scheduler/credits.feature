Feature: Exchanges of credits that name only what differs grant what whole ones do

    Scenario: Short exchanges with lost answers and new owners grant the same as whole ones
        When 200 random histories of exchanges are played short and whole
        Then both granted the same each time
        And some exchanges named no worker at all

    Scenario: An exchange that builds on an unknown one grants nothing
        When an exchange builds on one that the owner has not answered
        Then it fails with "conflict" and no credits are taken
