Feature: Who may claim a partition of exclusive requests

    Scenario Outline: A partition that is <state> is claimed for reason "<reason>"
        Given a partition that is <state>
        Then the claim's reason is "<reason>"

        Examples:
            | state                                     | reason         |
            | held by nobody                            | unheld         |
            | released                                  | released       |
            | held by the process itself                | own-renewal    |
            | held by the process's own predecessor     | proof-of-death |
            | held by another until a horizon in reach  | none           |
            | held by another until a horizon long past | horizon-passed |

    Scenario: A successor sends nothing while the last attempts of the process that it replaced may run
        Given a partition that is held by the process's own predecessor
        Then the claim is quiet until 2500 ms after the process began to listen

    Scenario: A successor elsewhere waits from the time of its claim
        Given a partition that is held by another until a horizon long past
        Then the claim is quiet until 2500 ms after the claim

    Scenario: A holder shortens its record only when its longer attempts have ended
        Given a partition that is held by the process itself
        And rules that have allowed attempts of 500 ms for 1900 ms
        Then the record keeps attempts of 2000 ms
        Given rules that have allowed attempts of 500 ms for 2100 ms
        Then the record keeps attempts of 500 ms

    Scenario: A holder lengthens its record at once
        Given a partition that is held by the process itself
        And rules that have allowed attempts of 3000 ms for 0 ms
        Then the record keeps attempts of 3000 ms
