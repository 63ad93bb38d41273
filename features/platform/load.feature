Feature: The load tool and the fault-injecting proxy tell whole answers from others

    Background:
        Given a worker stand-in that serves "beacon-check" behind a proxy

    Scenario: Every answer is whole and its caller's own
        When 100 calls are made through the proxy
        Then 100 calls are "answered"

    Scenario: Calls through crossing connections each get their own answer
        Given the proxy has the rules '{"delayMilliseconds": 1, "spreadMilliseconds": 20}'
        When 100 calls are made through the proxy
        Then 100 calls are "answered"

    Scenario: Answers that end half-way at the worker are found
        Given the worker has the faults '{"truncateAnswers": true}'
        When 20 calls are made through the proxy
        Then 20 calls are "cut"

    Scenario: Answers that are another request's are found
        Given 1 calls have been made through the proxy
        And the worker has the faults '{"crossAnswers": true}'
        When 20 calls are made through the proxy
        Then 20 calls are "wrong"

    Scenario: Answers that end half-way on the network are found
        Given the proxy has the rules '{"truncateAfterBytes": 100}'
        When 20 calls are made through the proxy
        Then 20 calls are "cut"

    Scenario: A dropped answer is found, and the request has run
        Given the proxy has the rules '{"dropAnswers": 3}'
        When 20 calls are made through the proxy
        Then 3 calls are "cut"
        And 17 calls are "answered"
        And the worker's records show 20 runs

    Scenario: Connections that have gone silent stay so while new ones work
        Given 5 calls have been made through the proxy
        And the proxy has the rules '{"silenceOpen": "both"}'
        When 5 calls are made through the proxy on new connections
        Then 5 calls are "answered"
        And a call on an old connection gets no answer

    Scenario: A refusing proxy is a connection that is closed
        Given the proxy has the rules '{"refuse": true}'
        When 5 calls are made through the proxy
        Then 5 calls are "cut"
        And the worker's records show 0 runs
