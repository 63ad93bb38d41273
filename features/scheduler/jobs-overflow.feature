Feature: Tasks overflow from a full cell to others without running twice

    Scenario: Tasks that a full cell cannot place run in the cell of another data centre
        Given data centres "levi" with 1 workers and "rovaniemi" with 5 workers
        And schedulers in both data centres that give tasks up after half a second
        When "season-prep" with 40 tasks that fill the workers is applied
        Then 40 tasks of "season-prep" run
        And no task has run in two places at once
        And each task of "season-prep" was started once

    Scenario: Tasks that no other cell can hold stay where they are until there is room
        Given data centres "levi" with 1 workers and "rovaniemi" with 1 workers
        And schedulers in both data centres that give tasks up after half a second
        When "season-prep" with 20 tasks that fill the workers is applied
        Then 16 tasks of "season-prep" run
        And the store has seen tasks on offer that were taken back
        When the rule "season-prep" is removed
        Then nothing runs
        And no transfer is left in the store
        And no task has run in two places at once

    Scenario: A rule that is removed and applied again runs its moved tasks once more, and never beside the old ones
        Given data centres "levi" with 1 workers and "rovaniemi" with 5 workers
        And schedulers in both data centres that give tasks up after half a second
        When "season-prep" with 40 tasks that fill the workers is applied
        Then 40 tasks of "season-prep" run
        When workers in "rovaniemi" fall silent while the rule "season-prep" is removed and applied again
        Then 40 tasks of "season-prep" run again
        And no task has run in two places at once

    Scenario: Tasks on offer outlive the end of the giving and the taking scheduler
        Given data centres "levi" with 1 workers and "rovaniemi" with 5 workers
        And a scheduler in "levi" only that gives tasks up after half a second
        When "season-prep" with 40 tasks that fill the workers is applied
        And both cells are given up without a word while tasks are on offer
        And schedulers in both data centres start
        Then 40 tasks of "season-prep" run
        And no task has run in two places at once

    Scenario: Tasks move between cells once while schedulers and the store fail
        When 12 histories of full cells are played from seed 500
        Then every task has finished and some were taken by another cell
