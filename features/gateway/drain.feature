Feature: A planned stop of a gateway cuts off no request

    Scenario: Requests under way are answered, and connections are closed after them
        Given a service with 1 replica
        And a caller with a kept connection
        And 5 requests under way
        When the gateway begins to stop
        Then it is not ready
        When the kept connection is used again
        Then it is answered with "connection: close"
        And the gateway waits for the requests under way
        When the replica answers
        Then all requests got status 200
        And the gateway has stopped
        And the replica has no connection of the gateway left

    Scenario: The limit ends a stop that takes too long
        Given a service with 1 replica
        And 1 request under way
        When the gateway is told to stop within 50 ms
        Then the stop ends though the request is under way
