Feature: Settings are checked before anything starts

    Scenario: An unknown key names the file and the place
        Given a settings file with '{"host": "127.0.0.1", "port": 1, "prot": 2}'
        When it is read as a listen address
        Then the failure has code "invalid-input"
        And the failure names the settings file and "prot"

    Scenario: A file that is not JSON names the file
        Given a settings file with '{"host": '
        When it is read as a listen address
        Then the failure has code "invalid-input"
        And the failure names the settings file and "not JSON"

    Scenario: An unknown key is told together with the keys that are allowed
        Given a settings file with '{"host": "127.0.0.1", "port": 1, "prot": 2}'
        When it is read as a listen address
        Then the failure names the settings file and "allowed are host, port at prot"

    Scenario Outline: Settings of the <daemon> with one bad place name that place
        Then of 1000 settings files of the <daemon> each is accepted whole or refused for its bad place

        Examples:
            | daemon    |
            | gateway   |
            | scheduler |
            | client    |

    Scenario: Files that are anything at all are refused and crash nothing
        Then 500 arbitrary texts are refused as settings of every daemon

    Scenario: The reference of the settings is what the schemas say
        When the reference is checked
        Then it is up to date
