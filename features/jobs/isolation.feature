Feature: Owners that other instances cannot reach

    # Guards against a cell that is passed to and fro: members that are gone counted as instances that cannot reach the owner.
    Scenario Outline: An owner keeps its cell when most instances are gone, though the store lists them for a while
        Given an owner among 9 members, of which <left> others are left and connected to it
        Then it keeps its cell for 10 s

        Examples:
            | left |
            | 0    |
            | 1    |
            | 2    |

    Scenario: An owner leaves its cell when more instances report that they cannot reach it than are connected
        Given an owner among 9 members, of which 2 others are left and connected to it
        When 6 instances report that they cannot reach the owner
        Then it leaves its cell within 2 s

    Scenario: An owner that connects again in time keeps its cell
        Given an owner among 9 members, of which 2 others are left and connected to it
        When 6 instances report that they cannot reach the owner
        And 1 s later 5 instances are connected to it
        Then it keeps its cell for 10 s

    # Guards against instances that pass the cell to and fro because each of them is reached by few.
    Scenario Outline: A successor that is reached <how> than the owner that left the cell <outcome> it
        Given an owner among 9 members, of which <connected> others are left and connected to it
        And it has claimed the cell from an owner that left it with 2 connections
        When 6 instances report that they cannot reach the owner
        Then it <outcome> its cell

        Examples:
            | how      | connected | outcome |
            | no worse | 2         | keeps   |
            | worse    | 1         | leaves  |

    Scenario: An instance reports an owner that it cannot reach, until it reaches it again
        Given an instance that has lost its connection to the owner
        Then it has reported nothing after 900 ms
        And it has reported the owner after 1100 ms
        When it has a connection to the owner again
        Then its report is removed

    # Guards against reports on an owner that is only busy with its takeover, which add to its load.
    Scenario: An instance that has not been connected to the owner yet gives it more time
        Given an instance that has not had a connection to the owner
        Then it has reported nothing after 2900 ms
        And it has reported the owner after 3100 ms
