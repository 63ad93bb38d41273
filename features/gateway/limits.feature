Feature: Limits on callers and on what services are given

    Scenario Outline: A request with <what> is refused as not run
        Given a service with tight limits
        When a caller sends <what>
        Then the raw answer has status <status>, outcome "not-run" and reason "<reason>"
        And no request arrived

        Examples:
            | what                     | status | reason          |
            | a body that is too large | 413    | body-too-large  |
            | a long chunked body      | 413    | body-too-large  |
            | a head that is too large | 431    | head-too-large  |
            | a head that never ends   | 408    | head-timeout    |
            | a body that never ends   | 408    | body-timeout    |
            | something else than HTTP | 400    | invalid-request |
            | a wrong priority         | 400    | invalid-request |

    Scenario: Callers that never finish do not hold up others
        Given a service with tight limits
        When 200 callers send a head that never ends
        Then another caller is answered meanwhile

    Scenario: The most urgent of those who wait goes first
        Given a service whose only replica takes one request at a time
        When callers of priorities 9, 5, 0 and 9 wait behind a request
        Then they are served in the order of priorities 0, 5, 9 and 9

    Scenario: A request whose deadline passes in the queue is refused as not run
        Given a service whose only replica takes one request at a time
        When a caller waits at most 50 ms behind a request
        Then the waiting caller gets status 503 with outcome "not-run" and reason "deadline-passed"
        And only the first request arrived

    Scenario: A request whose caller has gone while it waited is not sent
        Given a service whose only replica takes one request at a time
        When a caller goes away while it waits behind a request
        Then only the first request arrived

    Scenario: A request whose body arrives after its deadline is refused as not run
        Given a service whose only replica takes one request at a time
        When a caller sends its body 300 ms after a head that gives it 50 ms
        Then the raw answer has status 503, outcome "not-run" and reason "deadline-passed"
        And no request arrived

    Scenario: A request that would wait longer than its deadline is refused at once
        Given a service whose only replica takes one request at a time and needs 50 ms for each
        When 40 callers call at once and wait at most 500 ms
        Then some of them are answered, and some are refused as "queue-full"
        And nothing that was refused as not run had arrived

    Scenario: The limit of a service falls where answers slow down, and rises again with them
        Given a limit of at first 64 requests, all in use
        When 100 answers take 10 ms each
        Then the limit has risen
        When 100 answers take 100 ms each
        Then the limit has fallen
        When 200 answers take 10 ms each
        Then the limit has risen

    Scenario: A burst after an idle time waits for connections instead of being refused
        Given a service whose only replica needs 100 ms for each request
        And 64 callers have called at once before, and all connections have been closed since
        When 500 callers call at once and wait at most 40000 ms
        Then all of them are answered

    Scenario: A certificate is read again when it changes
        Given a gateway that speaks TLS with the "first" certificate
        Then callers see the "first" certificate
        When the files are replaced by the "second" certificate
        Then callers see the "second" certificate
        When only the key is replaced by the "first" one
        And the gateway has checked the files
        Then callers see the "second" certificate
