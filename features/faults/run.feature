Feature: A short fault run with a fixed seed breaks no promise

    Scenario: Three entry instances under random faults
        When the experiment "faults" runs with "--seed 5 --seconds 10 --instances 3 --workers 4"
        Then no promise is broken
        And calls were answered after the faults, and all lasting batch tasks finished
        And there were occasions for "answers are whole and the caller's own, exclusive requests never overlap, planned stops cut off no request"

    Scenario: The checker finds overlaps where the rule says nothing of keys
        When the experiment "faults" runs with "--seed 5 --seconds 6 --instances 2 --workers 3 --without exclusive-rule"
        Then "found broken: exclusive requests never overlap" holds
