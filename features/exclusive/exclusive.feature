Feature: Exclusive requests of one key never overlap

    Scenario Outline: No overlap and service again after <fault> of a gateway or the store
        When callers use an exclusive service while there is <fault>
        Then no two requests of one key overlapped
        And requests were answered after the fault

        Examples:
            | fault          |
            | a crash        |
            | a silence      |
            | an outage      |
            | a planned stop |

    Scenario: Without exclusive requests the same callers overlap
        When callers use a service that is not exclusive
        Then requests of one key overlapped
