Feature: Orders to a worker that starts again under its id, with a new clock

    Background:
        Given a worker whose clock shows 500 s

    # Guards against two runs of a task: a lease that ends on a former clock is far longer on the clock of a new life.
    Scenario: A start without an answer is repeated with a time of the worker's present clock
        When a start gets no answer, and the worker reports from a new life 300 ms later
        Then the start is repeated, with a lease that ends within 4500 ms on the clock of the new life

    Scenario: A start without an answer is not repeated before the worker has reported again
        When a start gets no answer, and the worker has not reported for 400 ms
        Then the start has not been repeated

    Scenario: A start without an answer is repeated with the same lease where the worker has not started again
        When a start gets no answer, and the worker reports from the same life 50 ms later
        Then the start is repeated with the lease of the first order

    Scenario: A start that is answered by a new life may run for the longest lease
        When a start is answered by a new life
        Then nothing on the worker counts as lapsed within 10000 ms

    Scenario Outline: A new life that has reported may have received <order> of the former life
        When a new life reports after <order> of the former life was sent
        Then nothing on the worker counts as lapsed within <lapse> ms

        Examples:
            | order   | lapse |
            | a start | 10000 |
            | a hold  | 10000 |

    # Guards against two runs of a task: a report that got no answer arrives at the new life after its first report, with a former time.
    Scenario: A hold without an answer may reach a new life seconds after that has reported
        When a new life reports after a hold of the former life got no answer
        Then nothing on the worker counts as lapsed within 20000 ms
        And the ledger gets the new life, with a lease that ends after 20000 ms

    # Guards against two runs of a task: a successor waited for its own leases alone.
    Scenario Outline: A successor counts what its predecessors' orders may have left on <life>
        Given a successor, whose ledger lists <known>
        When <life> reports to it for the first time
        Then <count> on the worker counts as lapsed <within> <lapse> ms

        Examples:
            | known                            | life                      | count      | within | lapse |
            | the worker's former life         | a life of 3 s             | nothing    | within | 10000 |
            | the worker's former life         | a life of 60 s            | everything | after  | 5000  |
            | the life with a lease of 16 s    | a life of 3 s             | nothing    | within | 13000 |
            | the life without a doubtful lease | a life of 3 s            | everything | after  | 5000  |
            | no life of the worker            | a life of 3 s             | everything | after  | 5000  |

    Scenario Outline: A successor that does not reach a worker waits for the longest lease where the ledger does not list its present life
        Given a successor, whose ledger lists <known>
        When it does not reach <life>
        Then it waits for a lease of <lease> ms

        Examples:
            | known                             | life           | lease |
            | the worker's former life          | a life of 3 s  | 10000 |
            | the worker's former life          | a life of 60 s | 4500  |
            | the life with a lease of 16 s     | a life of 3 s  | 10000 |
            | the life without a doubtful lease | a life of 3 s  | 4500  |

    Scenario: A new life that has received no order of the former life is counted with its own lease
        When a new life reports after no order of the former life was sent
        Then everything on the worker counts as lapsed after 5000 ms

    # Guards against attempts that are stopped as stalled though they have ended and are not listed yet.
    Scenario Outline: An attempt without progress is stopped only on a report that lists all ends
        When a report that lists <ends> comes 3000 ms after an attempt has last made progress
        Then the attempt is <fate>

        Examples:
            | ends          | fate    |
            | all ends      | stopped |
            | some ends     | kept    |
