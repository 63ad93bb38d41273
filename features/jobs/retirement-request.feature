Feature: Asking a former owner to stop

    Scenario: A process of an older build, which does not know the request, does not count as stopped
        Given a process of an older build
        When a successor asks it to stop, because it was the owner in epoch 2
        Then it counts as active

    Scenario: A process that has stopped counts as stopped, with the leases that it told
        Given a process that has stopped in epoch 2, and whose lease on "worker-0" runs for 1000 ms
        When a successor asks it to stop, because it was the owner in epoch 2
        Then it counts as stopped
        And "worker-0" is waited for, and "worker-1" is not

    Scenario: An answer about an earlier epoch does not count
        Given a process that has stopped in epoch 1, and whose lease on "worker-0" runs for 1000 ms
        When a successor asks it to stop, because it was the owner in epoch 2
        Then it counts as active

    Scenario: An address at which nothing listens shows that the former owner has ended, and not for how long leases run
        Given an address at which nothing listens
        When a successor asks it to stop, because it was the owner in epoch 2
        Then it counts as stopped
        And it is not known for how long leases run

    Scenario: Another process of the same instance shows that the former owner has ended
        Given a process that has stopped in epoch 2, and whose lease on "worker-0" runs for 1000 ms
        When a successor asks it to stop, because another process of its instance was the owner in epoch 2
        Then it counts as stopped
        And it is not known for how long leases run

    Scenario: An owner of a newer epoch does not stop
        Given a process that owns the cell in epoch 4
        When a successor asks it to stop, because it was the owner in epoch 2
        Then it counts as active
        And it still owns the cell

    Scenario: A worker that has answered but got no lease yet may run what a former owner has started
        Given a worker whose first answer has just arrived
        Then it is told to a successor as running for 4500 ms at least
        But not once the present owner's lease has lapsed
