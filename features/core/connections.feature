Feature: Connections neither hold a process up nor outlive their time

    Scenario: A server that closes lets go of a connection that its client keeps in use
        Given a server whose client calls again as soon as it has an answer
        When the server closes
        Then the server has closed
        And every answer that was begun was whole

    Scenario: A server that closes does not wait for a connection that went silent in the middle of a request
        Given a server with a connection that has sent half a request
        When the server closes
        Then the server has closed

    Scenario: A limit on a signal holds though memory is collected meanwhile
        Given 20 signals limited to 300 ms that only their listeners refer to
        When memory is collected
        Then all 20 signals are aborted
