Feature: Claims of a cell whose ledger takes long to load

    Background:
        Given three instances, and a store that takes 4 s to answer reads of the ledger

    # Guards against a claim whose record lapses while its ledger loads, so that each instance takes the cell from the one before.
    Scenario: A cell whose ledger takes longer to load than the owner's lease lasts keeps its owner
        Then an instance owns the cell and accepts a job within 15 s
        And the same instance still owns the cell and accepts a job 10 s later

    # Guards against a record that outlives the claimer.
    Scenario: A cell whose claimer has died while its ledger loads gets another owner, and keeps it
        When the instance that loads the ledger dies
        Then an instance owns the cell and accepts a job within 15 s
        And the same instance still owns the cell and accepts a job 10 s later

    # Guards against a cell that runs on in an instance that was stopped before its ledger was loaded.
    Scenario: An instance that is stopped while it loads a cell's ledger does not run the cell
        When the instance that loads the ledger is stopped
        Then it ends without having owned the cell
