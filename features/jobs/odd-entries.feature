Feature: Entries of other writers among those of the workers

    Scenario Outline: An odd entry names no worker, and the failure says what is wrong with it
        Given the entry of a worker
        When another writer sets its <field> to <value>
        Then it is not taken for a worker, and the failure names <place>

        Examples:
            | field       | value                   | place            |
            | address     | "127.0.0.1:99999"       | address          |
            | address     | "127.0.0.1:0"           | address          |
            | address     | "127.0.0.1"             | address          |
            | address     | "127.0.0.1:80/path"     | address          |
            | address     | "user@127.0.0.1:80"     | address          |
            | address     | "::1:80"                | address          |
            | address     | "no address"            | address          |
            | address     | 7                       | address          |
            | born        | 1e999                   | born             |
            | born        | 9007199254740993        | born             |
            | born        | 1.5                     | born             |
            | remainingMs | 1e999                   | remainingMs      |
            | remainingMs | -1                      | remainingMs      |
            | capacity    | {"cpu":1e999,"memMb":1} | capacity.cpu     |
            | capacity    | {"cpu":-1,"memMb":1}    | capacity.cpu     |
            | capacity    | null                    | capacity         |
            | labels      | [[[["a"]]]]             | labels.0         |
            | state       | "unheard of"            | state            |

    Scenario: Deep nesting is no worker, and does no harm
        Then an entry of 200000 nested lists is not taken for a worker
        And neither is an entry whose labels are 200000 nested lists
        But one with 200000 nested lists in a field that nobody reads is

    Scenario: An id that cannot be sent is no worker
        Then an entry under the id "wörker" is not taken for a worker
        And an entry under the id "" is not taken for a worker

    Scenario Outline: A member or an owner at a port out of range is not connected to
        Then the record of <kind> at port <port> is not taken

        Examples:
            | kind      | port  |
            | a member  | 99999 |
            | a member  | 0     |
            | an owner  | 65536 |
            | an owner  | -1    |

    Scenario: Odd entries among those of the workers do not keep a job from its workers
        Given the users' platform with 2 workers and 2 processes
        When another writer leaves odd entries among those of the workers
        And a caller submits job "00000000000000e1" of 2 steps with 3 tasks of 100 ms each
        Then the caller is told status 200
        And job "00000000000000e1" is shown as "completed" by every process
        And every process that was started still runs
