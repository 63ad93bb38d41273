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
